// Package protocol encodes and decodes the messages that controllers exchange with users,
// workers, the cloud and the state service: HTTP paths, JSON bodies and their limits.
//
// It maps the names used on the wire to the scheduling terms used in the code. Wire names occur
// only in this package; its exported identifiers follow the rest of the program
// (docs/GLOSSARY.md lists both). Parse functions validate a body in full and accept or reject it
// as a whole: a FieldError names the field and the reason, sentinel errors tell the kinds of
// messages apart, and errors of encoding/json are passed through. The output of the Encode
// functions must stay the same byte for byte. Durations are decimal seconds on the wire, and
// milliseconds where the field's name ends in Ms; sizes are in GB, prices per hour.
//
// The package must never do I/O, read a clock, keep state between calls, or make scheduling
// decisions: a well-formed message may still be late, a duplicate or from an unknown machine.
package protocol
