package controller

import (
	"context"
	"slices"
	"time"
)

// MaxListRows is the maximum number of rows in one answer of a list request.
const MaxListRows = 200

// memberNames returns the names of all configured controllers, this one included, in order.
func (c *Controller) memberNames() []string {
	names := c.configuredMembers()
	slices.Sort(names)
	return names
}

// holdsLeadership reports whether the leader record names the member.
func (c *Controller) holdsLeadership(member string) bool {
	return c.cache.Leader.Version > 0 && c.cache.Leader.Member == member
}

// shardsOf returns the indices of the shards whose records name the member as their owner.
func (c *Controller) shardsOf(member string) []int {
	shards := []int{}
	for i, shard := range c.cache.Shards {
		if shard.Member == member {
			shards = append(shards, i)
		}
	}
	return shards
}

// MemberView is the state of a controller as shown to operators.
type MemberView struct {
	Name          string  `json:"name"`
	Alive         bool    `json:"alive"`
	Leader        bool    `json:"leader"`
	Incarnation   uint64  `json:"incarnation"`
	Shards        []int   `json:"shares"`
	HeartbeatAgeS float64 `json:"pulse_age_s"` // age of its last peer heartbeat; -1: none was received directly
	StateOK       bool    `json:"state_ok"`
}

// MemberViews returns the views of all configured controllers.
func (c *Controller) MemberViews(ctx context.Context) ([]MemberView, error) {
	var views []MemberView
	err := c.call(ctx, func() {
		for _, name := range c.memberNames() {
			views = append(views, c.memberView(name))
		}
	})
	return views, err
}

func (c *Controller) memberView(name string) MemberView {
	view := MemberView{Name: name, Leader: c.holdsLeadership(name), Shards: c.shardsOf(name), HeartbeatAgeS: -1}
	if member := c.cache.Members[name]; member != nil {
		view.Alive, view.Incarnation = true, member.Incarnation
	}
	if peer, ok := c.reachability.peers[name]; ok {
		view.HeartbeatAgeS, view.StateOK = time.Since(peer.receivedAt).Seconds(), peer.heartbeat.StateOK
	}
	if name == c.cfg.MemberName {
		view.HeartbeatAgeS, view.StateOK = 0, c.PeerHeartbeat().StateOK
	}
	return view
}

// ShardView is the state of a shard as shown to operators.
type ShardView struct {
	Shard        int      `json:"share"`
	Owner        string   `json:"owner"`
	FencingToken uint64   `json:"token"`
	Teams        []string `json:"teams"`
	Machines     int      `json:"machines"`
	Cpus         float64  `json:"cpus"`
	UsedCpus     float64  `json:"used_cpus"`
	Gpus         float64  `json:"gpus"`
	UsedGpus     float64  `json:"used_gpus"`
	WaitingGpus  float64  `json:"waiting_gpus"`
	WaitingCpus  float64  `json:"waiting_cpus"`
}

// ShardViews returns the views of all shards.
func (c *Controller) ShardViews(ctx context.Context) ([]ShardView, error) {
	var views []ShardView
	err := c.call(ctx, func() { views = c.shardViews() })
	return views, err
}

func (c *Controller) shardViews() []ShardView {
	views := make([]ShardView, c.cache.NumShards)
	for i := range views {
		shard := &c.cache.Shards[i]
		views[i] = ShardView{Shard: i, Owner: shard.Member, FencingToken: shard.FencingToken, Teams: []string{}}
	}
	for i, team := range c.cache.Teams {
		view := &views[c.cache.ShardOf(i)]
		view.Teams = append(view.Teams, team.Name)
	}
	for _, machine := range c.cache.Machines {
		if machine.Gone {
			continue
		}
		view := &views[machine.Shard]
		view.Machines++
		view.Cpus += c.cache.Types[machine.Type].Cpus
		view.Gpus += c.cache.Types[machine.Type].Gpus
		for _, placed := range machine.Tasks {
			view.UsedCpus += placed.Job.Cpus
			view.UsedGpus += placed.Job.Gpus
		}
	}
	for _, job := range c.cache.Jobs {
		if job != nil {
			view := &views[job.Shard]
			view.WaitingCpus += float64(job.Waiting()) * job.Cpus
			view.WaitingGpus += float64(job.Waiting()) * job.Gpus
		}
	}
	return views
}

// Metrics returns this controller's metrics.
func (c *Controller) Metrics() *Metrics { return c.metrics }
