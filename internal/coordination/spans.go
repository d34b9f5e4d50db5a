package coordination

import "time"

// Span is a stretch of time in which something was carried out, for tracing. The core tells of
// spans that are over; whether anybody keeps them is not its business.
type Span struct {
	Name        string
	From, Until time.Time
	Attributes  []Attribute
	Parts       []Span
}

// Attribute says something of a span.
type Attribute struct{ Key, Value string }
