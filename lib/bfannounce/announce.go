package bfannounce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Path is where a node takes announcements, on its target port.
const Path = "/v1/announce"

// Heartbeat is how often a target announces itself.
const Heartbeat = time.Second

// Announcement is a target's word about itself.
type Announcement struct {
	// Incarnation is the time of the target's start in microseconds since 1970.
	//
	// Leaving holds for the rest of an incarnation: a heartbeat sent before the
	// stop can arrive after it, and would bring new work to a target that exits.
	Incarnation int64  `json:"incarnation"`
	Service     string `json:"service"`
	// Address is where the target takes requests from its node.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Leaving is set from the moment the target wants no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Answer is the node's word on the target's work.
type Answer struct {
	InFlight int `json:"inFlight"`
}

// RefusedError reports an announcement that the node did not take.
type RefusedError struct {
	Status int
	Reason string
}

// Error gives the node's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement refused with status %d: %s", e.Status, e.Reason)
}

// Send announces to the node whose target port is at address.
func Send(ctx context.Context, client *http.Client, address string, announcement Announcement) (Answer, error) {
	body, err := json.Marshal(announcement)
	if err != nil {
		return Answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	const longest = 4 << 10
	data, err := io.ReadAll(io.LimitReader(response.Body, longest))
	if err != nil {
		return Answer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Answer{}, &RefusedError{Status: response.StatusCode, Reason: strings.TrimSpace(string(data))}
	}
	var answer Answer
	return answer, json.Unmarshal(data, &answer)
}
