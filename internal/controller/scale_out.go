package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// exhaustedBackoff is the time without requests to a pool after it provided fewer machines than were
	// requested.
	exhaustedBackoff = 8 * time.Second
	// refusedBackoff is the time without requests to a pool after the cloud refused a request.
	refusedBackoff = 2 * time.Second
)

// scaleOutState is the leader's state of its scale-out requests.
type scaleOutState struct {
	scaleOuts    map[autoscale.Pool]*scaleOut // requests whose outcome is unknown or whose machines are not all enrolled
	blockedUntil map[autoscale.Pool]time.Time // no requests to the pool before this time
	requestCount int                          // number of requests named by this process
}

// scaleOut is a scale-out request whose outcome is not known yet or whose machines are not all enrolled.
type scaleOut struct {
	request  protocol.ScaleOutRequest
	inFlight bool
}

func newScaleOutState(requestCount int) scaleOutState {
	return scaleOutState{
		scaleOuts:    map[autoscale.Pool]*scaleOut{},
		blockedUntil: map[autoscale.Pool]time.Time{},
		requestCount: requestCount,
	}
}

// canRequest reports whether machines of a pool may be requested now.
func (s *scaleOutState) canRequest(pool autoscale.Pool, now time.Time) bool {
	return !s.isBlocked(pool, now) && s.scaleOuts[pool] == nil
}

// isBlocked reports whether a pool recently refused a request or provided fewer machines than were requested.
func (s *scaleOutState) isBlocked(pool autoscale.Pool, now time.Time) bool {
	return now.Before(s.blockedUntil[pool])
}

// nextRequestName returns a name that no controller uses again: it contains this process's incarnation.
func (s *scaleOutState) nextRequestName(incarnation uint64) string {
	s.requestCount++
	return fmt.Sprintf("r-%d-%d", incarnation, s.requestCount)
}

// requestScaleOut requests machines from the cloud under a new name.
func (c *Controller) requestScaleOut(ctx context.Context, scaleOutPlan autoscale.ScaleOut) {
	pending := &scaleOut{request: protocol.ScaleOutRequest{
		Name:  c.leader.nextRequestName(c.session.incarnation),
		Type:  c.cache.TypeIndex.Name(scaleOutPlan.Type),
		Zone:  c.cache.Zones.Name(scaleOutPlan.Zone),
		Spot:  scaleOutPlan.Spot,
		Count: min(scaleOutPlan.Count, protocol.MaxScaleOut),
	}}
	c.leader.scaleOuts[scaleOutPlan.Pool] = pending
	c.sendScaleOut(ctx, scaleOutPlan.Pool, pending)
}

// retryScaleOuts repeats the pending requests that are not in flight, under the same names: the cloud carries
// out each name only once.
func (c *Controller) retryScaleOuts(ctx context.Context) {
	for pool, pending := range c.leader.scaleOuts {
		if !pending.inFlight {
			c.sendScaleOut(ctx, pool, pending)
		}
	}
}

func (c *Controller) sendScaleOut(ctx context.Context, pool autoscale.Pool, pending *scaleOut) {
	pending.inFlight = true
	request := pending.request
	c.log.Info("scale-out requested", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count)
	go func() {
		names, err := c.cloud.ScaleOut(ctx, request)
		c.post(func() {
			pending.inFlight = false
			c.finishScaleOut(ctx, pool, request, names, err)
		})
	}()
}

// finishScaleOut handles the cloud's response to a request.
func (c *Controller) finishScaleOut(ctx context.Context, pool autoscale.Pool, request protocol.ScaleOutRequest, names []string, err error) {
	switch {
	case errors.Is(err, protocol.ErrNoCapacity):
		delete(c.leader.scaleOuts, pool)
		c.leader.blockedUntil[pool] = time.Now().Add(exhaustedBackoff)
	case errors.Is(err, protocol.ErrRefused):
		delete(c.leader.scaleOuts, pool)
		c.leader.blockedUntil[pool] = time.Now().Add(refusedBackoff)
	case err != nil:
		c.log.Info("outcome of the scale-out request is unknown, retrying", "request", request.Name, "err", err)
	default:
		if len(names) < request.Count {
			c.leader.blockedUntil[pool] = time.Now().Add(exhaustedBackoff)
		}
		c.enrollScaledOut(ctx, pool, request, names)
	}
}

// enrollScaledOut writes records for new machines. The request counts as pending until they are written.
func (c *Controller) enrollScaledOut(ctx context.Context, pool autoscale.Pool, request protocol.ScaleOutRequest, names []string) {
	c.log.Info("scale-out request completed", "request", request.Name, "machines", len(names))
	remaining := len(names)
	if remaining == 0 || !c.isLeader() {
		delete(c.leader.scaleOuts, pool)
		return
	}
	scaleOuts := c.leader.scaleOuts // map of this term of leadership, which may end before the records are written
	done := func(bool) {
		if remaining--; remaining == 0 {
			delete(scaleOuts, pool)
		}
	}
	for _, name := range names {
		c.enrollMachine(ctx, &pendingMachine{name: name, triesLeft: enrollTries, done: done, fleet: storage.FleetRecord{
			Type: request.Type, Zone: request.Zone, Spot: request.Spot, ProvisionedAt: time.Now().Unix()}})
	}
}
