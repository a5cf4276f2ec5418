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

var errNoAddress = errors.New("no entry returned addresses")

// addressAnswer is the response body of GET /v1/addresses. The best address comes first.
type addressAnswer struct {
	TTLMS     int64 `json:"ttl_ms"`
	Addresses []struct {
		Address string `json:"address"`
		Zone    string `json:"zone"`
	} `json:"addresses"`
}

// addressCache caches one caller's address list for its time to live.
type addressCache struct {
	entries []string
	client  *http.Client
	header  http.Header

	mu        sync.Mutex
	list      []string
	expiresAt time.Time
	nextEntry int // index of the entry to ask next
}

// get returns the best cached address. It refreshes the list if it is empty or expired.
func (a *addressCache) get(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) > 0 && time.Now().Before(a.expiresAt) {
		return a.list[0], nil
	}
	var err error
	for range a.entries {
		entry := a.entries[a.nextEntry%len(a.entries)]
		if err = a.refresh(ctx, entry); err == nil {
			return a.list[0], nil
		}
		a.nextEntry++
	}
	return "", fmt.Errorf("%w: %w", errNoAddress, err)
}

// drop removes an address that did not answer, until the list is refreshed.
func (a *addressCache) drop(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = slices.DeleteFunc(a.list, func(s string) bool { return s == address })
	if len(a.list) == 0 {
		a.nextEntry++
	}
}

// refresh requests the address list from one entry.
func (a *addressCache) refresh(ctx context.Context, entry string) error {
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
		return fmt.Errorf("%s answered %s with %d addresses", entry, resp.Status, len(body.Addresses))
	}
	a.list = a.list[:0]
	for _, item := range body.Addresses {
		a.list = append(a.list, item.Address)
	}
	a.expiresAt = time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond)
	return nil
}
