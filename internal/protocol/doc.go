// Package protocol is the codec of the interfaces that users, workers, the cloud and the state
// service share with controllers: HTTP paths, JSON bodies and their limits.
//
// It owns the mapping from the vocabulary of the wire to the field's terms. The wire's words
// occur in this package alone; what it exports is named as the rest of the program names it
// (docs/GLOSSARY.md lists both). Parse functions check a body in full and refuse it as a whole:
// a FieldError names the field and the reason, sentinels tell kinds of messages apart, and
// errors of encoding/json come through. Encode functions write the forms that are on the wire
// today, byte for byte. Durations are decimal seconds on the wire, and milliseconds where the
// field's name ends in Ms; sizes are GB, prices are per hour.
//
// The package must never do I/O, read a clock, keep state between calls, or decide anything:
// a message that is well formed may still be late, repeated or from a machine that is unknown.
package protocol
