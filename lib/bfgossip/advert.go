package bfgossip

// WithQuarantine returns the message with the digest of its sender's quarantine in the
// advert. An Ack relayed for another member is returned unchanged.
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
