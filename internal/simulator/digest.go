package simulator

import (
	"encoding/binary"
	"hash"

	"brasskeel/internal/coordination"
)

// digest hashes all requests to controllers and all effects of their steps, with the simulated
// times, so that the behaviour of two versions of the code can be compared. Logs are not included.
// Without a hash it does nothing.
type digest struct{ sum hash.Hash }

// writeInt adds a number in a fixed size.
func (d digest) writeInt(v int64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(v))
	d.sum.Write(raw[:]) // a hash.Hash never returns an error
}

func (d digest) writeString(v string) { d.writeBytes([]byte(v)) }

// writeBytes adds a value preceded by its length, so that different sequences of values never give
// the same input to the hash.
func (d digest) writeBytes(v []byte) {
	d.writeInt(int64(len(v)))
	d.sum.Write(v)
}

// request adds a request to a controller.
func (d digest) request(n *controllerHost, method, target string, body []byte) {
	if d.sum == nil {
		return
	}
	d.writeHeader(n, "request")
	d.writeString(method)
	d.writeString(target)
	d.writeBytes(body)
}

// effects adds the effects of one step of a controller.
func (d digest) effects(n *controllerHost, e coordination.Effects) {
	if d.sum == nil {
		return
	}
	for _, reply := range e.Replies {
		d.writeHeader(n, "reply")
		d.writeInt(int64(reply.ID))
		d.writeInt(int64(reply.Status))
		d.writeInt(int64(reply.RetryAfter))
		d.writeBytes(reply.Body)
	}
	for _, call := range e.Calls {
		d.writeHeader(n, "call")
		d.writeInt(int64(call.ID))
		d.writeInt(int64(call.To))
		d.writeString(call.Addr)
		d.writeString(call.Method)
		d.writeString(call.Target)
		d.writeInt(int64(call.Timeout))
		d.writeBytes(call.Body)
	}
	for _, broadcast := range e.Broadcasts {
		d.writeHeader(n, "publish")
		d.writeBytes(broadcast.Body)
	}
	for _, unicast := range e.Unicasts {
		d.writeHeader(n, "send")
		d.writeString(unicast.To)
		d.writeBytes(unicast.Body)
	}
}

// writeHeader adds the time, the controller and the kind of an entry. The kinds are hashed too, so
// "publish" for a broadcast and "send" for a unicast keep these names: with others, the digests
// could not be compared with those of earlier versions.
func (d digest) writeHeader(n *controllerHost, kind string) {
	d.writeInt(int64(n.cluster.now.Sub(n.cluster.startTime)))
	d.writeString(n.name)
	d.writeString(kind)
}
