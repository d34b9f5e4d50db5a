// Package sessions determines what the messages of a worker prove. A controller that serves a
// machine's worker keeps one Session for the worker, one Delivery for each attempt on the machine
// and one Detector for all of its workers.
//
// It owns the order of a worker's messages (incarnations and sequence numbers), the fencing
// tokens that one ownership epoch issues, the known reachability in each direction, and the
// delivery state of each attempt's start.
//
// It holds only state: it reads no clock, sends nothing, and knows neither machines nor jobs.
// Times and messages are passed in. It must never report an attempt as terminated because of
// its absence alone while a start that was sent may still be carried out.
package sessions
