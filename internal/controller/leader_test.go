package controller

import (
	"fmt"
	"testing"

	"dykeledge/internal/config"
)

// Guards against an objective on starting a guarantee's work being used as the tightest objective on
// finishing: idle machines were then kept, and paid for, for ten minutes.
func TestTightestFinishObjective(t *testing.T) {
	for _, test := range []struct {
		name       string
		objectives []config.Objective
		want       float64
		timed      bool
	}{
		{"none", nil, 0, false},
		{"finishing", []config.Objective{{Kind: "finished", Class: "c", WithinS: 150}, {Kind: "finished", Class: "d", WithinS: 90}}, 90, false},
		{"an objective on a guarantee's start is not one on finishing", []config.Objective{{Kind: "finished", Class: "c", WithinS: 150}, {Kind: "guarantee", WithinS: 5}}, 150, true},
		{"deadlines belong to jobs and are no finishing objective", []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.cfg.Deployment.Objectives = test.objectives
			if got, timed := controller.shortestFinishObjectiveS(), controller.guaranteesTimed(); got != test.want || timed != test.timed {
				t.Errorf("tightest finish objective %v s, guarantees timed %v; want %v s, %v", got, timed, test.want, test.timed)
			}
		})
	}
}

// TestGroupAllocator checks that new machines fill the groups of their shard, and that spot and
// on-demand machines get separate groups. Each step continues from the state after the one before.
func TestGroupAllocator(t *testing.T) {
	controller := newCore(t) // group 0 of shard 0 holds one on-demand machine
	allocator := newGroupAllocator(controller.cache, 3)
	for i, step := range []struct {
		shard   int
		spot    bool
		group   int
		created bool
	}{
		{0, false, 0, false}, {0, true, 1, true}, {0, false, 0, false}, {0, false, 2, true},
		{1, false, 3, true}, {0, true, 1, false}, {0, true, 1, false}, {0, true, 4, true},
	} {
		t.Run(fmt.Sprint("machine ", i), func(t *testing.T) {
			if group, created := allocator.allocate(step.shard, step.spot); group != step.group || created != step.created {
				t.Errorf("group %d, created %v; want %d, %v", group, created, step.group, step.created)
			}
		})
	}
}
