package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// leaderState is what only the leader needs. A new leader begins with an empty one.
// Each part is written by the file that declares it; after a stall, what was observed before is
// cleared (stall_detection.go).
type leaderState struct {
	enrollmentState
	cloudListState
	scaleOutState
	scaleInState
	drainingState
	rebalancingState

	membersVersionSum uint64 // of the members' records when shards were last assigned
	editing           bool   // pending updates of other owners' machines are being written
	autoscaledAt      time.Time
	baseline          baselineLearning
}

// init forgets what an earlier lead of this process knew. Kept are the flags of requests that
// are still under way, and the number of scale-out requests: their names are never used again.
func (l *leaderState) init() {
	l.abandon()
	*l = leaderState{
		enrollmentState:  newEnrollmentState(),
		cloudListState:   newCloudListState(),
		scaleOutState:    newScaleOutState(l.requestCount),
		scaleInState:     newScaleInState(l.returning),
		rebalancingState: newRebalancingState(),
		baseline:         baselineLearning{writeInFlight: l.baseline.writeInFlight},
	}
}

// leaderTxn is an empty transaction that commits only while this controller still leads.
func (c *Controller) leaderTxn() protocol.Txn {
	return protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}}
}

// autoscaleAsLeader is the leader's loop over machines: which exist, which should exist, and
// which shard they serve.
func (c *Controller) autoscaleAsLeader(ctx context.Context, now time.Time) {
	// Requests to the cloud are not conditional on any record: a controller whose session lease
	// may have expired would scale out beside the next leader.
	if !c.isLeader() || !c.leaseCertain(now) || !c.cache.HasCatalog() || c.storeFailing() {
		return
	}
	if c.leader.listDue(now, c.cloudListInterval()) {
		c.leader.listing = true
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
