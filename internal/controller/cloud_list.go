package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/wait"
)

// This file reads the catalog of machine types and the list of machines from the cloud.

const (
	// catalogInterval is the time between two reads of the catalog; catalogRetryInterval applies until a read
	// succeeds.
	catalogInterval      = 30 * time.Second
	catalogRetryInterval = time.Second
	// minCloudListInterval is the minimum time between two reads of the machine list.
	minCloudListInterval = 3 * time.Second
	// enrollmentGrace is how long a listed machine may have no record before it is enrolled from the list:
	// the answer to its scale-out request may still be on its way and takes precedence.
	enrollmentGrace = 2 * time.Second
	// cloudStatusFailed is the status that the cloud gives to a machine that will never work.
	cloudStatusFailed = "failed"
)

// cloudListState is the leader's state of reading the cloud's machine list.
type cloudListState struct {
	listInFlight bool
	listedAt     time.Time
	unrecorded   map[string]time.Time // when a machine without a record was first listed
}

func newCloudListState() cloudListState {
	return cloudListState{unrecorded: map[string]time.Time{}}
}

// listDue reports whether the machine list should be read again.
func (l *cloudListState) listDue(now time.Time, interval time.Duration) bool {
	return !l.listInFlight && now.Sub(l.listedAt) > interval
}

// enrollmentOverdue records when a machine was first listed without a record, and reports whether that is
// longer ago than the answer to its scale-out request may take.
func (l *cloudListState) enrollmentOverdue(name string, now time.Time) bool {
	since, ok := l.unrecorded[name]
	if !ok {
		l.unrecorded[name] = now
		return false
	}
	if now.Sub(since) < enrollmentGrace {
		return false
	}
	delete(l.unrecorded, name)
	return true
}

// catalogLoop reads the machine types periodically until ctx ends. The leader stores them in the state
// service if no catalog is stored there, for controllers that start while the cloud does not answer.
func (c *Controller) catalogLoop(ctx context.Context) {
	for ctx.Err() == nil {
		catalog, err := c.cloud.Catalog(ctx)
		if err != nil || len(catalog.Types) == 0 {
			c.log.Info("catalog not available, retrying", "err", err)
			wait.For(ctx, catalogRetryInterval)
			continue
		}
		c.post(func() {
			c.cache.UpdateCatalog(catalog)
			if c.isLeader() && c.follower.loaded && c.cache.Catalog.Version == 0 {
				c.storeCatalog(ctx, catalog)
			}
			c.requestCycle()
		})
		wait.For(ctx, catalogInterval)
	}
}

// storeCatalog writes the catalog to the state service unless one is stored already.
func (c *Controller) storeCatalog(ctx context.Context, catalog *protocol.Catalog) {
	c.commitOutsideCycle(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.CatalogKey}},
		Then: []protocol.Change{{Put: storage.CatalogKey, Value: storage.Encode(catalog)}},
	}, protocol.BackgroundRequest, func(bool) {})
}

// cloudListInterval is the time between two reads of the machine list by the leader. The list lags behind the
// cloud by Cloud.ListLagS, so reading it more than twice within that lag shows nothing new.
func (c *Controller) cloudListInterval() time.Duration {
	return max(minCloudListInterval, seconds(c.cfg.Deployment.Cloud.ListLagS/2))
}

// listCloudMachines reads the whole machine list and hands it to the goroutine that owns the state.
func (c *Controller) listCloudMachines(ctx context.Context) {
	machines, err := c.readCloudList(ctx)
	c.post(func() {
		c.leader.listInFlight = false
		if err != nil {
			c.log.Debug("reading the machine list failed", "err", err)
			return
		}
		c.applyCloudList(ctx, machines)
	})
}

// readCloudList reads the machine list page by page.
func (c *Controller) readCloudList(ctx context.Context) ([]protocol.CloudMachine, error) {
	var machines []protocol.CloudMachine
	after := ""
	for {
		page, err := c.cloud.List(ctx, after)
		if err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}

// applyCloudList enrolls listed machines that have no record, fills in missing addresses and returns machines
// that the cloud reports as failed. The list lags behind the cloud, so a machine that is missing from it is
// not treated as gone.
func (c *Controller) applyCloudList(ctx context.Context, machines []protocol.CloudMachine) {
	if !c.isLeader() {
		return
	}
	now := time.Now()
	for _, listed := range machines {
		machine := c.cache.Machine(listed.ID)
		if machine == nil {
			c.enrollListed(ctx, listed, now)
			continue
		}
		if machine.Addr == "" {
			machine.Addr = listed.Addr
		}
		if listed.Status == cloudStatusFailed && !machine.Returning {
			c.returnMachine(machine, reasonFailed)
		}
	}
}

// enrollListed enrolls a listed machine whose record has been missing for longer than enrollmentGrace.
func (c *Controller) enrollListed(ctx context.Context, listed protocol.CloudMachine, now time.Time) {
	if c.cache.MachineEverListed(listed.ID) || c.leader.enrollPending[listed.ID] || c.cache.TypeIndex.Find(listed.Type) < 0 {
		return
	}
	if !c.leader.enrollmentOverdue(listed.ID, now) {
		return
	}
	c.log.Info("enrolling a listed machine that has no record", "machine", listed.ID, "status", listed.Status)
	c.enrollMachine(ctx, &pendingMachine{name: listed.ID, addr: listed.Addr, done: func(bool) {}, fleet: storage.FleetRecord{
		Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot, ProvisionedAt: now.Unix() - int64(listed.AgeS)}})
}
