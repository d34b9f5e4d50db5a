package coordination

// logSampled logs what happened to one of many, at level info as far as package ratelog lets
// lines with the same message through.
func (c *Controller) logSampled(message string, args ...any) {
	c.sampler.Info(c.log, c.now, message, args...)
}
