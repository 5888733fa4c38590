package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/transport"
)

// peerHeartbeatInterval is the time between two peer heartbeats of a controller.
const peerHeartbeatInterval = 500 * time.Millisecond

// controllerSet holds the controllers of a simulation.
type controllerSet struct {
	controllers []*ControllerProcess
	lastLeader  storage.LeaderRecord
	// PreviousVersion holds the indexes of controllers that start as the previous version, which cannot read packed records.
	PreviousVersion map[int]bool
	// Views makes each controller keep a read model.
	Views bool
	// AfterTransaction, if set, is called after a transaction of controller i was applied, before the controller gets the
	// answer.
	AfterTransaction func(i int, t protocol.Txn)
	// KillCount counts the controllers that were killed.
	KillCount atomic.Int32
	// LeaderChanges counts the changes of leadership.
	LeaderChanges atomic.Int32
}

// setController sets the process of controller i.
func (c *controllerSet) setController(i int, process *ControllerProcess) {
	for len(c.controllers) <= i {
		c.controllers = append(c.controllers, nil)
	}
	c.controllers[i] = process
}

// indexOf returns the index of the controller with a name, or -1.
func (c *controllerSet) indexOf(name string) int {
	return slices.IndexFunc(c.controllers, func(process *ControllerProcess) bool { return process.Name == name })
}

// servingUsers returns the controllers that users reach.
func (c *controllerSet) servingUsers() (serving []*ControllerProcess) {
	for _, process := range c.controllers {
		if !process.ended() && !process.isPartitionedFrom(NoUsers) {
			serving = append(serving, process)
		}
	}
	return serving
}

// noteLeaderRecord decodes the leader's record, and reports whether it differs from the previous one.
func (c *controllerSet) noteLeaderRecord(raw []byte) bool {
	var leader storage.LeaderRecord
	if json.Unmarshal(raw, &leader) != nil || leader == c.lastLeader {
		return false
	}
	c.lastLeader = leader
	c.LeaderChanges.Add(1)
	return true
}

// controllerName returns the name of controller i.
func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// Start starts controller i, or restarts it if it ran before.
func (sim *Simulation) Start(i int) {
	cfg := sim.controllerSettings(i)
	ctx, cancel := context.WithCancel(sim.ctx)
	process := &ControllerProcess{Name: cfg.MemberName, Zone: cfg.Zone, simulation: sim, stop: cancel}
	if cfg.Zone == sim.partitionedZone() {
		process.SetPartitions(zonePartitions)
	}
	process.Link = sim.newStoreLink(i, process)
	cloud := &cloudLink{simulation: sim, controller: process}
	if sim.Store.Limited {
		process.Link.budget = transport.NewStateBudget(&cfg.Deployment)
		cloud.budget = transport.CloudBudget(&cfg.Deployment)
	}
	log := sim.Log.With("controller", process.Name)
	process.Core = controller.New(cfg, process.Link, cloud, &workerLink{sim, process}, log, controller.DefaultTiming())
	process.handleHeartbeat = process.Core.HandleHeartbeat
	if sim.Views {
		process.Core.EnableView()
	}
	sim.mu.Lock()
	if sim.PreviousVersion[i] {
		process.Core.Layout, process.Core.Frames = storage.LayoutPlain, 0
	}
	sim.setController(i, process)
	sim.events.add(event{kind: controllerStarted, controller: process.Name})
	sim.deliverHeldCommands()
	sim.mu.Unlock()
	go process.Core.Run(ctx)
}

// controllerSettings returns the settings of controller i.
func (sim *Simulation) controllerSettings(i int) *config.Settings {
	cfg := *sim.Settings
	zones := cfg.Deployment.Zones
	cfg.MemberName = controllerName(i)
	cfg.Zone = zones[i%len(zones)]
	cfg.KnownPeers = nil
	for other := range cfg.Deployment.Controllers {
		if other != i {
			cfg.KnownPeers = append(cfg.KnownPeers, config.Peer{MemberName: controllerName(other), Zone: zones[other%len(zones)]})
		}
	}
	return &cfg
}

// newStoreLink returns controller i's connection to the store, with the hooks that delay and observe its
// transactions.
func (sim *Simulation) newStoreLink(i int, process *ControllerProcess) *StoreLink {
	return &StoreLink{
		store:      sim.Store,
		controller: process,
		LateTransactions: func(t protocol.Txn) time.Duration {
			if sim.LateTransactions == nil {
				return 0
			}
			return sim.LateTransactions(process.Name, t)
		},
		DuplicateTransactions: func(t protocol.Txn) time.Duration {
			if sim.TransactionDuplicateDelay == nil {
				return 0
			}
			return sim.TransactionDuplicateDelay(process.Name, t)
		},
		AfterTransaction: func(t protocol.Txn) {
			if sim.AfterTransaction != nil {
				sim.AfterTransaction(i, t)
			}
		},
	}
}

// ExchangePeerHeartbeats starts the exchange of peer heartbeats and cancellation digests between the controllers.
func (sim *Simulation) ExchangePeerHeartbeats() {
	go func() {
		for sim.ctx.Err() == nil {
			time.Sleep(peerHeartbeatInterval)
			sim.mu.Lock()
			processes := slices.Clone(sim.controllers)
			sim.mu.Unlock()
			for _, from := range processes {
				for _, to := range processes {
					if from != to && sim.peerHeartbeatArrives(from, to) {
						sendPeerHeartbeat(from, to)
					}
				}
			}
		}
	}()
}

// peerHeartbeatArrives reports whether a controller's peer heartbeat reaches another controller now. The caller
// must not hold the simulation's mutex.
func (sim *Simulation) peerHeartbeatArrives(from, to *ControllerProcess) bool {
	switch {
	case sim.ZonesPartitioned(from.Zone, to.Zone):
		return false
	case from.ended() || to.ended() || from.isPartitionedFrom(NoPeers) || to.isPartitionedFrom(NoPeers):
		return false
	}
	return from.stalledUntil.Load() < time.Now().UnixNano()
}

func sendPeerHeartbeat(from, to *ControllerProcess) {
	go to.Core.ReceivePeerHeartbeat(from.Name, from.Core.PeerHeartbeat())
	if digest, ok := from.Core.CancellationDigest(to.Name); ok {
		go to.Core.ReceiveCancellationDigest(from.Name, digest)
	}
}

// Kill ends controller i without a shutdown.
func (sim *Simulation) Kill(i int) {
	process := sim.Controller(i)
	sim.KillCount.Add(1)
	sim.mu.Lock()
	sim.events.add(event{kind: controllerKilled, controller: process.Name})
	sim.mu.Unlock()
	process.killed.Store(true)
	process.stop()
}

// Restart kills controllers and restarts them after a delay.
func (sim *Simulation) Restart(back time.Duration, indexes ...int) {
	for _, i := range indexes {
		if !sim.Controller(i).ended() {
			sim.Kill(i)
		}
	}
	time.Sleep(back)
	for _, i := range indexes {
		if sim.Controller(i).ended() {
			sim.Start(i)
		}
	}
}

// ShardOwner returns the index of the controller that owns a shard, or -1 if none reports that it does.
func (sim *Simulation) ShardOwner(shard int) int {
	for i := range sim.Settings.Deployment.Controllers {
		views, err := sim.Controller(i).Core.ShardViews(sim.ctx)
		if err == nil && shard < len(views) && views[shard].Owner == sim.Controller(i).Name {
			return i
		}
	}
	return -1
}

// Leader returns the index of the controller that the leader's record names, or -1.
func (sim *Simulation) Leader() int {
	raw, ok := sim.Store.Value(storage.LeaderKey)
	var leader storage.LeaderRecord
	if !ok || json.Unmarshal(raw, &leader) != nil {
		return -1
	}
	return sim.indexOf(leader.Member)
}

// Controller returns the current process of controller i.
func (sim *Simulation) Controller(i int) *ControllerProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.controllers[i]
}
