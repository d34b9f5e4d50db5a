package coordination

import "time"

// processorLoad is how much of its share this process uses.
type processorLoad struct {
	used  time.Duration // in all
	at    time.Time
	share float64 // lately
}

// ProcessorUsed tells how much processor time this process has used in all.
func (c *Controller) ProcessorUsed(now time.Time, used time.Duration) {
	p := &c.processorLoad
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 && c.cfg.CPUShare > 0 {
		p.share = float64(used-p.used) / (float64(elapsed) * c.cfg.CPUShare)
	}
	p.used, p.at = used, now
}
