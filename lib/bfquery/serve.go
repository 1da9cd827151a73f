package bfquery

import (
	"context"

	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// Serve carries out the commands of a request one after another, up to the
// first that fails, and emits the messages of the answer; the last one is the
// end message.
//
// The author comes from the caller's token; the request's own author field is a
// note that a client could forge. An error means that emit failed or ctx ended.
func Serve(
	ctx context.Context, author string, request bfresult.CommandRequest, backend Backend,
	emit func(bfresult.ResultMessage) error,
) error {
	s := &service{backend: backend, emit: emit, status: bfresult.StatusDone}
	commands, err := bfgrammar.Parse(request.Commands)
	if err != nil {
		if err := s.result(resultOf(err)); err != nil {
			return err
		}
		return s.end()
	}
	for _, call := range calls(author, request, commands) {
		if err := s.run(ctx, call); err != nil {
			return err
		}
		if s.status != bfresult.StatusDone {
			break
		}
	}
	return s.end()
}

// calls hands the request's IDs to the commands that need one, in their order.
func calls(author string, request bfresult.CommandRequest, commands []bfsyntax.Command) []Call {
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

// service is one request being answered.
type service struct {
	backend Backend
	emit    func(bfresult.ResultMessage) error
	status  bfresult.Status
	// emitErr is the first failure of emit.
	emitErr error
}

func (s *service) run(ctx context.Context, call Call) error {
	err := Run(ctx, call, s.backend, s.result)
	if s.emitErr != nil {
		return s.emitErr
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		// The node stops or the client went away. Without an end message the
		// client knows that it has not the whole answer.
		return ctx.Err()
	}
	return s.result(resultOf(err))
}

func (s *service) result(result bfresult.Result) error {
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

func (s *service) end() error {
	return s.send(bfresult.ResultMessage{End: &bfresult.EndMessage{Status: s.status}})
}

func (s *service) send(message bfresult.ResultMessage) error {
	if err := s.emit(message); err != nil {
		s.emitErr = err
		return err
	}
	return nil
}
