package bfgossip

// WithQuarantine is a message with the digest of what its sender holds in quarantine. One
// that is handed on for another member stays as it is.
func WithQuarantine(message Message, sender, digest uint64) Message {
	switch m := message.(type) {
	case Probe:
		m.Advert.Quarantine = digest
		return m
	case Ack:
		if m.From == sender {
			m.Advert.Quarantine = digest
		}
		return m
	}
	return message
}
