package bfnews

import (
	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bftraffic"
)

// addConfiguration adds what is newer than version held to the reply. It prefers a delta,
// because the full configuration takes about a hundred bytes per route, and up to a fifth of a
// second on a slow link.
func (e *Exchange) addConfiguration(reply *pollReply, held bftraffic.Version) (err error) {
	snapshot := e.state.Snapshot()
	if snapshot == nil || snapshot.Version() <= held {
		return nil
	}
	if base := e.state.Recent(held); base != nil {
		reply.Delta, err = bfcodec.Marshal(bftraffic.Diff(base, snapshot))
		return err
	}
	reply.Spec, err = e.encode(snapshot)
	return err
}

// encodedSpec is the full configuration of a version in CBOR.
type encodedSpec struct {
	version bftraffic.Version
	data    []byte
}

// encode returns the full configuration in CBOR. The result is cached because all members of a
// domain request the same one from a relay when a fleet starts.
func (e *Exchange) encode(snapshot *bftraffic.Snapshot) ([]byte, error) {
	if cached := e.encoded.Load(); cached != nil && cached.version == snapshot.Version() {
		return cached.data, nil
	}
	data, err := bfcodec.Marshal(snapshot.Spec())
	if err == nil {
		e.encoded.Store(&encodedSpec{snapshot.Version(), data})
	}
	return data, err
}

// observeDelta requests the whole configuration if the delta of a reply didn't apply: the version in force
// has another content than the sender's version of that number, as after a restore of the store.
// It is requested once for each version, since the node may have refused that one as invalid.
func (e *Exchange) observeDelta(send bool, reply pollReply) {
	version, last := uint64(reply.Version), e.refusedDelta.Load()
	if !send || version < last {
		return
	}
	refused := len(reply.Delta) > 0 && e.state.Version() < reply.Version
	e.wantsWhole.Store(refused && version > last)
	if refused {
		e.refusedDelta.Store(version)
	}
}

// apply applies the data in a reply.
func (e *Exchange) apply(reply pollReply) {
	var spec bftraffic.Spec
	if len(reply.Spec) > 0 && bfcodec.Unmarshal(reply.Spec, "configuration", &spec) == nil {
		e.state.ApplySpec(spec)
	}
	e.applyDelta(reply.Delta)
	var roster Roster
	if len(reply.Roster) > 0 && bfcodec.Unmarshal(reply.Roster, "roster", &roster) == nil {
		e.state.ApplyRoster(roster)
	}
}
