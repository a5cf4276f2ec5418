package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const addressTimeout = 2 * time.Second

var errNoAddress = errors.New("no entry answers")

// addressAnswer is the system's answer to GET /v1/addresses, best first.
type addressAnswer struct {
	TTLMS     int64 `json:"ttl_ms"`
	Addresses []struct {
		Address string `json:"address"`
		Zone    string `json:"zone"`
	} `json:"addresses"`
}

// addresses keeps one caller's answer for its time to live.
type addresses struct {
	entries []string
	client  *http.Client
	header  http.Header

	mu    sync.Mutex
	list  []string
	until time.Time
	next  int // entry to ask next
}

// get returns the address to use now.
func (a *addresses) get(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) > 0 && time.Now().Before(a.until) {
		return a.list[0], nil
	}
	var err error
	for range a.entries {
		entry := a.entries[a.next%len(a.entries)]
		if err = a.ask(ctx, entry); err == nil {
			return a.list[0], nil
		}
		a.next++
	}
	return "", fmt.Errorf("%w: %w", errNoAddress, err)
}

// drop forgets an address that did not answer, until the list is asked again.
func (a *addresses) drop(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = slices.DeleteFunc(a.list, func(s string) bool { return s == address })
	if len(a.list) == 0 {
		a.next++
	}
}

func (a *addresses) ask(ctx context.Context, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/addresses", nil)
	if err != nil {
		return err
	}
	req.Header = a.header.Clone()
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var body addressAnswer
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || len(body.Addresses) == 0 {
		return fmt.Errorf("%s answers %s with %d addresses", entry, resp.Status, len(body.Addresses))
	}
	a.list = a.list[:0]
	for _, one := range body.Addresses {
		a.list = append(a.list, one.Address)
	}
	a.until = time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond)
	return nil
}
