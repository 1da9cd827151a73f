package bfentry

import (
	"context"
	"errors"
	"strconv"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
)

// sendRemote sends the request to the target through another node.
func (c *call) sendRemote(ctx context.Context, target *bffleet.Target, policy bfhost.Policy) bfhost.Result {
	config := c.handler.config
	left := c.deadline.Sub(config.Timer.Now())
	if left <= 0 {
		// policy.Repeat instead of c.sent: a second copy runs while the call goes on.
		return bfhost.Expired{Sent: policy.Repeat}
	}
	request := *c.request
	request.Header = c.request.Header.Clone()
	request.Header[config.Names.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	long, end := c.longAnswer(target), func() {}
	policy.LongAnswer = long
	if long != nil {
		end = c.handler.incoming.Expect(long.Bytes)
	}
	bfhost.WritePolicy(request.Header, policy)
	bfhost.WriteLimit(request.Header, target.Limit())
	request.HoldBack()
	config.Pacer.Charge(len(request.Head))
	sent := config.Timer.Now()
	stopWatch := c.handler.prober.Watch(target)
	from, err := config.Client.Send(ctx, target.Member().Inbound, &request)
	stopWatch()
	if err != nil {
		end()
	}
	var notSent *bfexchange.NotSentError
	switch {
	case errors.As(err, &notSent) && c.request.Resendable():
		return bfhost.NewUnsent(err)
	case err != nil && !config.Timer.Now().Before(c.deadline):
		c.handler.prober.CheckSilence(target, sent)
		return bfhost.Expired{Sent: true}
	case err != nil:
		return bfhost.Lost{Reason: err.Error()}
	}
	return c.readResult(from, target, end)
}

// readResult reads the other node's answer; end is called once it has been read.
func (c *call) readResult(from *bfexchange.Answer, target *bffleet.Target, end func()) bfhost.Result {
	now := c.handler.config.Timer.Now()
	target.RecordResponse(now)
	if used, slots, ok := bfhost.ReadLoad(from.Header()); ok {
		target.ReportLoad(used, slots, now)
		target.ReportBacklog(bfhost.ReadBacklog(from.Header()), now)
		target.ReportLimit(bfhost.ReadLimit(from.Header()))
	}
	if health, ok := bfhost.ReadHealth(from.Header()); ok {
		c.updateHealth(target, health)
	}
	target.ReportLeaving(bfhost.ReadLeaving(from.Header()))
	if result, ok := bfhost.ReadResult(from.Header()); ok {
		from.Discard()
		end()
		return result
	}
	spent := bfhost.ReadSpent(from.Header())
	answer, err := bfanswer.Read(from, bfanswer.EntryBufferBytes, end)
	if err != nil {
		end()
		if !now.Before(c.deadline) {
			return bfhost.Expired{Sent: true}
		}
		return bfhost.Lost{Reason: err.Error()}
	}
	answer.Spent = spent
	return bfhost.Answered{Answer: answer}
}

// updateHealth applies the health that a target's node reported.
func (c *call) updateHealth(target *bffleet.Target, health bfhost.Health) {
	slowness := 0.0
	if health.MeanRunTime > 0 {
		if usual := c.handler.runTimes.Get(c.route.Name()); usual > 0 {
			slowness = float64(health.MeanRunTime) / float64(usual)
		}
		c.handler.runTimes.Add(c.route.Name(), health.MeanRunTime.Nanoseconds())
	}
	target.ReportHealth(health.FailureRate, slowness, c.handler.config.Timer.Now())
}
