package coordination

import "time"

// processorLoad is how much of its share of the processor this process uses.
type processorLoad struct {
	used  time.Duration // processor time since the process began
	at    time.Time     // when used was measured
	share float64       // used between the last two measurements, 1 for all of it
}

// ProcessorUsed takes how much processor time this process has used since it began. Without
// calls the share counts as zero.
func (c *Controller) ProcessorUsed(now time.Time, used time.Duration) {
	p := &c.processorLoad
	if elapsed := now.Sub(p.at); !p.at.IsZero() && elapsed > 0 && c.cfg.CPUShare > 0 {
		p.share = float64(used-p.used) / (float64(elapsed) * c.cfg.CPUShare)
	}
	p.used, p.at = used, now
}
