package shard

import (
	"bytes"
	"encoding/json"
	"errors"

	"brasskeel/internal/protocol"
)

// Message is what the leader and an owner send each other, one message of JSON: instructions or
// observations.
type Message struct {
	From         string        `json:"shards"` // controller; first, to tell it from other lines
	Instructions *Instructions `json:"instructions,omitempty"`
	Observations *Observations `json:"observations,omitempty"`
}

// ErrEmptyMessage is a message with neither instructions nor observations.
var ErrEmptyMessage = errors.New("a line about shards without content")

// messagePrefix begins a message that is a Message.
var messagePrefix = []byte(`{"shards":`)

// IsMessage reports whether a message from a peer is a Message, whether or not it can be read.
func IsMessage(line []byte) bool { return bytes.HasPrefix(line, messagePrefix) }

// ParseMessage reads a message. The error is ErrEmptyMessage or that of protocol.Decode.
func ParseMessage(line []byte) (*Message, error) {
	var m Message
	if err := protocol.Decode(line, &m); err != nil {
		return nil, err
	}
	if m.Instructions == nil && m.Observations == nil {
		return nil, ErrEmptyMessage
	}
	return &m, nil
}

// Encode writes the message as one message, without its end.
func (m *Message) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil { // messages hold only strings and finite numbers
		panic(err)
	}
	return raw
}
