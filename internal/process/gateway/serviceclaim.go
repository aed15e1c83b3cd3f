package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/claim"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// dedupServiceIncarnation is the incarnation, in claims, of every service that deduplicates calls by
// idempotency key. Unlike a runner's, its deduplication survives restarts, so the incarnation never changes.
const dedupServiceIncarnation = "service"

// keyedService executes a call to a plain service with an idempotency key; it implements claimSteps. A
// service can't resume an answer. A service that honors the key is called again instead, because it runs the
// call only once.
type keyedService struct {
	*serviceCall
	picked      string // upstream counted by acquireService; "": none
	answer      upstream.ServiceResponse
	answerOpen  bool
	ownRunID    string // run ID of this request's own claim
	sendSkipped bool   // the last send was skipped: the upstream is leaving or the content is held
	sent        bool   // a send may have reached an upstream
}

// runKeyed executes a call with an Idempotency-Key. It returns nil if the answer is complete.
func (c *serviceCall) runKeyed(ctx context.Context) *errkind.Error {
	k := &keyedService{serviceCall: c, ownRunID: claim.NewRunID()}
	defer k.releaseUpstream()
	d := &claimDriver{
		claims:   c.g.claims,
		steps:    k,
		explain:  c.explain,
		deadline: c.arrived.Add(time.Duration(c.g.cfg.Settings.Limits.DefaultDeadlineMS) * time.Millisecond),
		session: claim.NewSession(claim.SessionConfig{
			Gateway:   c.g.cfg.Settings.Instance.Name,
			Account:   c.account,
			Key:       claim.KeyOf(c.account, c.key),
			Body:      claim.HashOf(c.r.Method, c.r.URL.RequestURI(), c.body),
			RunID:     k.ownRunID,
			FirstSend: c.firstSend,
			Traits:    func(string) claim.UpstreamTraits { return claim.UpstreamTraits{Deduplicates: c.service.Deduplicates} },
		}),
	}
	return d.drive(ctx, k.choose(nil))
}

// choose implements claimSteps. It counts the call at the chosen upstream. If exclude is not empty and the
// last send was not skipped, it takes a retry from the budget.
func (k *keyedService) choose(exclude []string) claim.Event {
	k.releaseUpstream()
	if refusal := k.holdRefusal(); refusal != nil {
		return claim.ChooseFailed{Err: refusal}
	}
	k.excluded = append(k.excluded, exclude...)
	if len(exclude) > 0 && !k.sendSkipped && !k.g.dispatcher.consumeRetry(time.Now()) {
		return claim.ChooseFailed{Err: errkind.New(errkind.UpstreamRefused, errkind.NotRun,
			"the upstream could not be reached and the retry budget is used up").WithRetryAfter(retryAfterRefusal)}
	}
	picked, ok := k.g.dispatcher.acquireService(time.Now(), k.service, k.excluded, route.SeedOf(k.id))
	if !ok {
		return claim.ChooseFailed{Err: errkind.New(errkind.NoUpstream, errkind.NotRun,
			"no upstream of the service can serve the call now").WithRetryAfter(retryAfterRefusal)}
	}
	k.picked = picked.Name
	incarnation := ""
	if k.service.Deduplicates {
		incarnation = dedupServiceIncarnation
	}
	return claim.Chosen{Runner: picked.Name, Incarnation: incarnation}
}

// releaseUpstream releases the call that acquireService counted, if there is one.
func (k *keyedService) releaseUpstream() {
	if k.picked != "" {
		k.g.dispatcher.releaseService(k.picked)
		k.picked = ""
	}
}

// send implements claimSteps.
func (k *keyedService) send(ctx context.Context, a claim.Send, maySend func() bool) claim.Event {
	u, ok := findUpstream(k.service, a.Runner)
	if !ok {
		return claim.SendAmbiguous{} // another gateway's claim names an upstream that was removed
	}
	if !maySend() {
		return claim.SendWindowClosed{}
	}
	if k.sendSkipped = k.leavingBeforeFirstSend(a); k.sendSkipped {
		k.explain.add(time.Now(), "not sent to %s: %v", a.Runner, errUpstreamLeaving)
		return claim.SendRefused{Err: notRunError(errUpstreamLeaving)}
	}
	if refusal := k.holdRefusal(); refusal != nil {
		return k.heldContentEvent(a, refusal)
	}
	k.sent = true
	answer, err := k.forward(ctx, u)
	if err == nil {
		k.answer, k.answerOpen = answer, true
		return claim.Started{}
	}
	k.explain.add(time.Now(), "send to %s failed: %v", a.Runner, err)
	if provesNotRun(err) {
		return claim.SendRefused{Err: notRunError(err)}
	}
	return claim.SendAmbiguous{}
}

// leavingBeforeFirstSend reports whether a send must be skipped, because it would start a new call at an
// upstream that is leaving. Only the first send of this request's own claim starts a new call. Any other send
// asks for the answer of a call that may have run at the upstream. It is also sent to a leaving upstream,
// because a service that honors the key runs the call only once.
func (k *keyedService) leavingBeforeFirstSend(a claim.Send) bool {
	return !k.sent && a.RunID == k.ownRunID && k.g.checkServiceNotLeaving(k.route.Service, a.Runner) != nil
}

// heldContentEvent returns the event for a send that was skipped because the content is held. It reports a
// refusal only for the first send of this request's own claim; in all other cases the call may have run.
func (k *keyedService) heldContentEvent(a claim.Send, refusal *errkind.Error) claim.Event {
	if k.sent || a.RunID != k.ownRunID {
		return claim.SendWindowClosed{}
	}
	k.sendSkipped = true
	return claim.SendRefused{Err: refusal}
}

// resume implements claimSteps. It is never called, because the session's Traits don't include Resumes.
func (k *keyedService) resume(context.Context, claim.Resume) claim.Event {
	return claim.ResumeUnknownRun{}
}

// follow implements claimSteps.
func (k *keyedService) follow(context.Context) claim.Event {
	if !k.answerOpen {
		return claim.StreamBroken{}
	}
	k.answerOpen = false
	err := k.relay(k.answer)
	switch {
	case err == nil:
		return claim.Finished{}
	case errkind.Is(err, errkind.Canceled):
		return claim.Canceled{}
	case errors.Is(err, upstream.ErrBroken):
		k.explain.add(time.Now(), "answer broke off: %v", err)
	}
	return claim.ResumeUnknownRun{} // the caller already has a part of this answer, which another answer can't continue
}

// findUpstream returns the upstream of a service by name.
func findUpstream(s resource.Service, name string) (resource.ServiceUpstream, bool) {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return resource.ServiceUpstream{}, false
}
