package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// leaderState is the state that only the leader uses. It is reset when leadership begins.
// Each part is written by the file that declares it. After a stall of this process, observations
// made before the stall are cleared (stall_detection.go).
type leaderState struct {
	enrollmentState
	cloudListState
	scaleOutState
	scaleInState
	drainingState
	rebalancingState

	membersVersionSum uint64    // sum of the member records' versions when shards were last assigned
	updatesInFlight   bool      // a transaction with pending updates of other owners' machines is in flight
	autoscaledAt      time.Time // when autoscale last ran
	baseline          baselineLearning
}

// init resets the state left from an earlier leadership of this process. It keeps the flags that a
// request to return machines or a write of the baseline is in flight, and the count of scale-out
// requests, so that a request name is never used twice.
func (l *leaderState) init() {
	l.failPending()
	*l = leaderState{
		enrollmentState:  newEnrollmentState(),
		cloudListState:   newCloudListState(),
		scaleOutState:    newScaleOutState(l.requestCount),
		scaleInState:     newScaleInState(l.returning),
		rebalancingState: newRebalancingState(),
		baseline:         baselineLearning{writeInFlight: l.baseline.writeInFlight},
	}
}

// leaderTxn returns a transaction without changes that commits only if the leader record has not
// changed since this controller's cache read it.
func (c *Controller) leaderTxn() protocol.Txn {
	return protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}}
}

// autoscaleAsLeader runs the leader's periodic work on machines when it is due: listing the cloud's
// machines, scaling out and in, and moving machine groups between shards.
func (c *Controller) autoscaleAsLeader(ctx context.Context, now time.Time) {
	// Requests to the cloud are not conditional on any record: a controller whose session lease
	// may have expired could scale out at the same time as the next leader.
	if !c.isLeader() || !c.leaseCertain(now) || !c.cache.HasCatalog() || c.storeFailing() {
		return
	}
	if c.leader.listDue(now, c.cloudListInterval()) {
		c.leader.listInFlight = true
		c.leader.listedAt = now
		go c.listCloudMachines(ctx)
	}
	if now.Sub(c.leader.autoscaledAt) >= c.timing.AutoscaleInterval {
		c.leader.autoscaledAt = now
		c.autoscale(ctx, now)
	}
	if now.Sub(c.leader.movedAt) >= c.timing.RebalanceInterval {
		c.rebalance(ctx, now)
	}
}
