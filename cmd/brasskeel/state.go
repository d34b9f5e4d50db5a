package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"brasskeel/internal/config"
	"brasskeel/internal/protocol"
)

// Limits of a command that reads from the state service.
const (
	stateTimeout  = 10 * time.Second
	statePageKeys = 500
	maxPageBytes  = 1 << 20 // the state service's responses are at most half of it
)

// readKeys reads all keys with a prefix from the state service, page by page, and calls take
// with each.
func readKeys(ctx context.Context, s *config.Settings, prefix string, take func(protocol.KeyValue)) error {
	after := ""
	for {
		items, more, err := readPage(ctx, s.StateAddr, prefix, after)
		if err != nil {
			return fmt.Errorf("read keys with prefix %q from the state service at %s: %w", prefix, s.StateAddr, err)
		}
		for _, kv := range items {
			take(kv)
		}
		if !more || len(items) == 0 {
			return nil
		}
		after = items[len(items)-1].Key
	}
}

func readPage(ctx context.Context, addr, prefix, after string) (items []protocol.KeyValue, more bool, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+protocol.RangeTarget(prefix, after, statePageKeys), nil)
	if err != nil {
		return nil, false, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }() // only reads, so the error does not matter
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, false, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, &statusError{response.StatusCode}
	}
	items, more, _, err = protocol.ParseRange(body)
	return items, more, err
}
