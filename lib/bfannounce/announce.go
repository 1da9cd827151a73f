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

// Path is the HTTP path of announcements on a node's target port.
const Path = "/v1/announce"

// Heartbeat is the interval between a target's announcements.
const Heartbeat = time.Second

// Announcement is a target's report of its own state.
type Announcement struct {
	// Incarnation is the target's start time in microseconds since 1970.
	//
	// Leaving stays in effect for the rest of an incarnation: a heartbeat sent before the stop
	// can arrive after it, and would otherwise direct new work to a target that exits.
	Incarnation int64  `json:"incarnation"`
	Service     string `json:"service"`
	// Address is where the target accepts requests from its node.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Leaving is set once the target accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Answer is the node's report of the target's requests in flight.
type Answer struct {
	InFlight int `json:"inFlight"`
}

// RefusedError reports an announcement that the node rejected, with the HTTP status.
type RefusedError struct {
	Status int
	Reason string
}

// Error returns the status and the node's reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("announcement refused with status %d: %s", e.Status, e.Reason)
}

// Send posts an announcement to the node whose target port is at address. It returns a
// RefusedError if the node rejects the announcement.
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
	const maxAnswerBytes = 4 << 10
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Answer{}, &RefusedError{Status: response.StatusCode, Reason: strings.TrimSpace(string(data))}
	}
	var answer Answer
	return answer, json.Unmarshal(data, &answer)
}
