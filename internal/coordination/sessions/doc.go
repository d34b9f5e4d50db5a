// Package sessions judges what the messages of a worker prove. A controller that serves a
// machine's worker keeps one Session for it, one Delivery for each attempt on it and one
// Detector for all of its workers.
//
// It owns the order of a worker's messages (incarnations and sequence numbers), the fencing
// tokens that one ownership epoch gives out, what is known of reachability in each direction,
// and how far the start of an attempt has come.
//
// It is pure state: it reads no clock, sends nothing, and knows neither machines nor jobs.
// Times and messages are handed in. It must never call an attempt terminated on absence
// alone while a start that was sent may still be carried out.
package sessions
