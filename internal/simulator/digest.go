package simulator

import (
	"encoding/binary"
	"hash"

	"brasskeel/internal/coordination"
)

// digest sums up all that controllers are asked, answer, call and tell each other, with the
// simulated times, so that two versions of the code can be compared. Logs don't count.
type digest struct{ sum hash.Hash }

// writeInt and text add a value with its length, so that no two sequences look alike.
func (d digest) writeInt(v int64) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(v))
	d.sum.Write(raw[:]) // never fails, by its contract
}

func (d digest) writeString(v string) { d.writeBytes([]byte(v)) }

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

// effects adds what a step of a controller asks for.
func (d digest) effects(n *controllerHost, e coordination.Effects) {
	if d.sum == nil {
		return
	}
	for _, r := range e.Replies {
		d.writeHeader(n, "reply")
		d.writeInt(int64(r.ID))
		d.writeInt(int64(r.Status))
		d.writeInt(int64(r.RetryAfter))
		d.writeBytes(r.Body)
	}
	for _, k := range e.Calls {
		d.writeHeader(n, "call")
		d.writeInt(int64(k.ID))
		d.writeInt(int64(k.To))
		d.writeString(k.Addr)
		d.writeString(k.Method)
		d.writeString(k.Target)
		d.writeInt(int64(k.Timeout))
		d.writeBytes(k.Body)
	}
	for _, p := range e.Broadcasts {
		d.writeHeader(n, "publish")
		d.writeBytes(p.Body)
	}
	for _, s := range e.Unicasts {
		d.writeHeader(n, "send")
		d.writeString(s.To)
		d.writeBytes(s.Body)
	}
}

// writeHeader begins what a controller did at a time.
func (d digest) writeHeader(n *controllerHost, what string) {
	d.writeInt(int64(n.cluster.now.Sub(n.cluster.startTime)))
	d.writeString(n.name)
	d.writeString(what)
}
