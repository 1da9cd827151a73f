package bfquery

import (
	"context"

	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// Serve executes the commands of a request in sequence until one fails and emits
// the messages of the response, the last of which is the end message.
//
// The author comes from the caller's token, since a client could forge the
// request's author field. An error means that emit failed or ctx ended.
func Serve(
	ctx context.Context, author string, request bfresult.CommandRequest, backend Backend,
	emit func(bfresult.ResultMessage) error,
) error {
	s := &responder{backend: backend, emit: emit, status: bfresult.StatusDone}
	commands, err := bfgrammar.Parse(request.Commands)
	if err != nil {
		if err := s.result(resultOf(err)); err != nil {
			return err
		}
		return s.end()
	}
	for _, call := range assignChangeIDs(author, request, commands) {
		if err := s.run(ctx, call); err != nil {
			return err
		}
		if s.status != bfresult.StatusDone {
			break
		}
	}
	return s.end()
}

// assignChangeIDs pairs the request's IDs, in order, with the commands that need one.
func assignChangeIDs(author string, request bfresult.CommandRequest, commands []bfsyntax.Command) []Call {
	list := make([]Call, 0, len(commands))
	ids := request.ChangeIDs
	for _, command := range commands {
		call := Call{Command: command, Author: author}
		if bfsyntax.NeedsChangeID(command) && len(ids) > 0 {
			call.ChangeID, ids = ids[0], ids[1:]
		}
		list = append(list, call)
	}
	return list
}

// responder writes the response to one request.
type responder struct {
	backend Backend
	emit    func(bfresult.ResultMessage) error
	status  bfresult.Status
	// emitErr is the first failure of emit.
	emitErr error
}

func (s *responder) run(ctx context.Context, call Call) error {
	err := Run(ctx, call, s.backend, s.result)
	if s.emitErr != nil {
		return s.emitErr
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		// The node is shutting down or the client disconnected. The missing end
		// message marks the response as truncated.
		return ctx.Err()
	}
	return s.result(resultOf(err))
}

func (s *responder) result(result bfresult.Result) error {
	switch r := result.(type) {
	case bfresult.Outcome:
		s.status = r.Status
	case bfresult.Failure:
		s.status = r.Status()
	case bfresult.Table, bfresult.Message, bfresult.Progress:
	}
	message, err := bfresult.Encode(result)
	if err != nil {
		return err
	}
	return s.send(message)
}

func (s *responder) end() error {
	return s.send(bfresult.ResultMessage{End: &bfresult.EndMessage{Status: s.status}})
}

func (s *responder) send(message bfresult.ResultMessage) error {
	if err := s.emit(message); err != nil {
		s.emitErr = err
		return err
	}
	return nil
}
