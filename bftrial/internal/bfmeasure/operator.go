package bfmeasure

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfoperator"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// operator sends operator commands to one node.
type operator struct {
	client *http.Client
	url    string
}

func newOperator(node *bffleet.Node) *operator {
	const timeout = 30 * time.Second
	return &operator{
		client: &http.Client{Timeout: timeout},
		url:    "http://" + node.Settings().Listen.Operator + bfoperator.CommandPath,
	}
}

// run sends one command and returns the time of its final result.
func (o *operator) run(command string) (time.Time, error) {
	body, err := json.Marshal(bfresult.CommandRequest{Commands: command, ChangeIDs: []string{ulid.Make().String()}})
	if err != nil {
		return time.Time{}, err
	}
	request, err := http.NewRequest(http.MethodPost, o.url, bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	request.Header.Set("Authorization", "Bearer "+bffleet.OperatorToken)
	response, err := o.client.Do(request)
	if err != nil {
		return time.Time{}, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	var messages []string
	for {
		var message bfresult.ResultMessage
		if err := decoder.Decode(&message); err != nil {
			return time.Time{}, fmt.Errorf("%q: incomplete response: %w", command, err)
		}
		switch {
		case message.Error != nil:
			messages = append(messages, message.Error.Message)
		case message.Outcome != nil:
			messages = append(messages, message.Outcome.Summary)
		case message.End != nil && message.End.Status == bfresult.StatusDone:
			return time.Now(), nil
		case message.End != nil:
			return time.Time{}, errors.New(command + ": " + fmt.Sprint(messages))
		}
	}
}

// commit stages and confirms a change and returns the time of the confirm's response.
func (o *operator) commit(name, change string) (time.Time, error) {
	if _, err := o.run(fmt.Sprintf("stage %s { %s }", name, change)); err != nil {
		return time.Time{}, err
	}
	return o.run("confirm " + name)
}
