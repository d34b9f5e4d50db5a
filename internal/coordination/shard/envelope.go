package shard

import (
	"bytes"
	"encoding/json"
	"errors"

	"brasskeel/internal/protocol"
)

// Message is the JSON envelope of all messages between the leader and an owner: it holds
// instructions or observations.
type Message struct {
	From         string        `json:"shards"` // sending controller; the first field, which IsMessage recognizes
	Instructions *Instructions `json:"instructions,omitempty"`
	Observations *Observations `json:"observations,omitempty"`
}

// ErrEmptyMessage reports a message with neither instructions nor observations.
var ErrEmptyMessage = errors.New("shard message without instructions or observations")

// messagePrefix is what the encoding of each Message begins with.
var messagePrefix = []byte(`{"shards":`)

// IsMessage reports whether a message from a peer is a Message, even if it can't be parsed.
func IsMessage(message []byte) bool { return bytes.HasPrefix(message, messagePrefix) }

// ParseMessage decodes a message. The error is ErrEmptyMessage or that of protocol.Decode.
func ParseMessage(message []byte) (*Message, error) {
	var m Message
	if err := protocol.Decode(message, &m); err != nil {
		return nil, err
	}
	if m.Instructions == nil && m.Observations == nil {
		return nil, ErrEmptyMessage
	}
	return &m, nil
}

// Encode returns the JSON of the message, without a line end.
func (m *Message) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil { // messages hold only strings and finite numbers
		panic(err)
	}
	return raw
}
