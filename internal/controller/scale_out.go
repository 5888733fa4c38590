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
	// exhaustedBackoff is how long a pool is left alone after it could not give all that was asked.
	exhaustedBackoff = 8 * time.Second
	// refusedBackoff is how long a pool is left alone after the cloud refused a request.
	refusedBackoff = 2 * time.Second
)

// scaleOutState is what the leader knows of its requests for machines.
type scaleOutState struct {
	scaleOuts    map[autoscale.Pool]*scaleOut // under way, outcome unknown
	blockedUntil map[autoscale.Pool]time.Time // nothing is asked of the pool until then
	requestCount int                          // requests named by this process
}

// scaleOut is a request for machines whose outcome is not known yet.
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

// canRequest tells whether machines of a pool may be asked for.
func (s *scaleOutState) canRequest(pool autoscale.Pool, now time.Time) bool {
	return !s.isBlocked(pool, now) && s.scaleOuts[pool] == nil
}

// isBlocked tells whether a pool recently could not give what was asked.
func (s *scaleOutState) isBlocked(pool autoscale.Pool, now time.Time) bool {
	return now.Before(s.blockedUntil[pool])
}

// nextRequestName is a name that no controller ever uses again: it holds this process's own number.
func (s *scaleOutState) nextRequestName(incarnation uint64) string {
	s.requestCount++
	return fmt.Sprintf("r-%d-%d", incarnation, s.requestCount)
}

// requestScaleOut asks the cloud for machines under a new name.
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

// retryScaleOuts repeats the requests whose outcome is unknown, under the same names: the cloud
// carries out each name once.
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
	c.log.Info("scale out requested", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count)
	go func() {
		names, err := c.cloud.ScaleOut(ctx, request)
		c.post(func() {
			pending.inFlight = false
			c.finishScaleOut(ctx, pool, request, names, err)
		})
	}()
}

// finishScaleOut takes in the cloud's answer to a request.
func (c *Controller) finishScaleOut(ctx context.Context, pool autoscale.Pool, request protocol.ScaleOutRequest, names []string, err error) {
	switch {
	case errors.Is(err, protocol.ErrNoCapacity):
		delete(c.leader.scaleOuts, pool)
		c.leader.blockedUntil[pool] = time.Now().Add(exhaustedBackoff)
	case errors.Is(err, protocol.ErrRefused):
		delete(c.leader.scaleOuts, pool)
		c.leader.blockedUntil[pool] = time.Now().Add(refusedBackoff)
	case err != nil:
		c.log.Info("scale out in doubt", "request", request.Name, "err", err)
	default:
		if len(names) < request.Count {
			c.leader.blockedUntil[pool] = time.Now().Add(exhaustedBackoff)
		}
		c.enrollScaledOut(ctx, pool, request, names)
	}
}

// enrollScaledOut has records written for new machines; the request counts as under way until
// they are written.
func (c *Controller) enrollScaledOut(ctx context.Context, pool autoscale.Pool, request protocol.ScaleOutRequest, names []string) {
	c.log.Info("scaled out", "request", request.Name, "machines", len(names))
	remaining := len(names)
	if remaining == 0 || !c.isLeader() {
		delete(c.leader.scaleOuts, pool)
		return
	}
	scaleOuts := c.leader.scaleOuts // of this lead, which may end meanwhile
	done := func(bool) {
		if remaining--; remaining == 0 {
			delete(scaleOuts, pool)
		}
	}
	for _, name := range names {
		c.enrollMachine(ctx, &pendingMachine{name: name, tries: enrollTries, done: done, fleet: storage.FleetRecord{
			Type: request.Type, Zone: request.Zone, Spot: request.Spot, ProvisionedAt: time.Now().Unix()}})
	}
}
