package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/golden"
	"dykeledge/internal/storage"
)

// newGoldenController returns a controller with a placed task, waiting tasks, a victim set and a changed team. It
// serves calls until the test ends.
func newGoldenController(t *testing.T) *Controller {
	t.Helper()
	controller := newTeamCore(t)
	applyRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
		Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{1, 4, 5, 6}}}}}}, 5)
	applyRecord(t, controller, storage.VictimSetKey("job-000001"), storage.VictimSetRecord{ChosenAtMs: 1000,
		Victims: []storage.VictimRecord{{Machine: "m", Job: "job-000001", Task: 1, Attempt: 4, Score: 2.5}}}, 6)
	former := storage.TeamBounds{CpusMax: 40, GpusMax: 4}
	applyTeamRecord(t, controller, storage.TeamRecord{TeamBounds: storage.TeamBounds{Cpus: 1, CpusMax: 2, Gpus: 1, GpusMax: 2}, PreviousBounds: &former}, 7)
	controller.cache.Baseline.Cpus = map[storage.ClassQueue]float64{{}: 3}
	controller.recordVictimSets()
	serveCalls(t, controller)
	return controller
}

// applyRecord applies a record to a controller's cache.
func applyRecord(t *testing.T, controller *Controller, key string, record any, version uint64) {
	t.Helper()
	if err := controller.cache.Apply(key, storage.Encode(record), version, false); err != nil {
		t.Fatal(err)
	}
}

// serveCalls runs the work that is posted to a controller whose Run is not called, until the test ends.
func serveCalls(t *testing.T, controller *Controller) {
	t.Helper()
	go func() {
		for {
			select {
			case f := <-controller.inbox:
				f()
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// TestGoldenAdminBodies compares the bodies of the administration API that are made by this package with
// golden files.
func TestGoldenAdminBodies(t *testing.T) {
	local := time.Local
	time.Local = time.UTC // times of victim sets are shown in the controller's local time zone
	t.Cleanup(func() { time.Local = local })
	for _, test := range []struct {
		name string
		read func(ctx context.Context, controller *Controller) (any, error)
	}{
		{"settings", func(context.Context, *Controller) (any, error) { return DefaultOperatorSettings(), nil }},
		{"settings-info", func(context.Context, *Controller) (any, error) { return SettingsInfo(), nil }},
		{"settings-changed", func(context.Context, *Controller) (any, error) {
			return DefaultOperatorSettings().Change(json.RawMessage(`{"alpha":0.25,"move_every_s":30,"log_level":"debug"}`))
		}},
		{"team", func(_ context.Context, c *Controller) (any, error) { return c.teamView(0, time.Now()), nil }},
		{"nodes", func(ctx context.Context, c *Controller) (any, error) { return c.MemberViews(ctx) }},
		{"shares", func(ctx context.Context, c *Controller) (any, error) { return c.ShardViews(ctx) }},
		{"jobs", func(ctx context.Context, c *Controller) (any, error) {
			list, more, err := c.JobViews(ctx, "red", "", 5)
			return []any{list, more}, err
		}},
		{"machines", func(ctx context.Context, c *Controller) (any, error) {
			list, more, err := c.MachineInfos(ctx, "", 5)
			return []any{list, more}, err
		}},
		{"machine", func(ctx context.Context, c *Controller) (any, error) {
			info, known, err := c.MachineInfo(ctx, "m")
			return []any{info, known}, err
		}},
		{"evictions", func(ctx context.Context, c *Controller) (any, error) { return c.Evictions(ctx) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v, err := test.read(t.Context(), newGoldenController(t))
				if err != nil {
					t.Fatal(err)
				}
				raw, err := json.MarshalIndent(v, "", "  ")
				if err != nil {
					t.Fatal(err)
				}
				golden.CheckText(t, "admin-"+test.name+".json", string(raw)+"\n")
			})
		})
	}
}

// TestGoldenSettingsRefusals compares the errors for invalid changes of the settings with a golden file.
func TestGoldenSettingsRefusals(t *testing.T) {
	var b strings.Builder
	for _, change := range []string{`x`, `null`, `{}`, `{"beta":1}`, `{"alpha":2}`, `{"alpha":"1"}`, `{"alpha":null}`, `{"move_every_s":0}`,
		`{"move_every_s":61}`, `{"log_level":"loud"}`} {
		_, err := DefaultOperatorSettings().Change(json.RawMessage(change))
		fmt.Fprintf(&b, "%s: %v\n", change, err)
	}
	golden.CheckText(t, "settings-refusals.txt", b.String())
}

// TestGoldenMetrics compares names, types, help texts, labels and buckets of the metrics, and the fixed label
// values, with a golden file.
func TestGoldenMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newGoldenController(t)
		c.metrics.waitSeconds.WithLabelValues(c.classLabel(0), "red").Observe(1)
		c.metrics.waitSeconds.WithLabelValues(c.classLabel(maxClasses), "red").Observe(1)
		c.metrics.Observe("state", "answered")
		for _, outcome := range []dispatch.Outcome{dispatch.Completed, dispatch.Stopped, dispatch.Failed, dispatch.Refused, dispatch.Lost, dispatch.Undelivered} {
			c.metrics.attemptOutcomes.WithLabelValues(outcomeNames[outcome]).Inc()
		}
		golden.CheckText(t, "metrics.txt", metricsText(t, c.metrics.Registry))
	})
}

// metricsText returns the gathered metrics of a registry as text, without their values.
func metricsText(t *testing.T, r *prometheus.Registry) string {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, f := range families {
		fmt.Fprintf(&b, "%s %s: %s\n", f.GetName(), f.GetType(), f.GetHelp())
		for _, m := range f.GetMetric() {
			b.WriteString(" -")
			for _, l := range m.GetLabel() {
				fmt.Fprintf(&b, " %s=%q", l.GetName(), l.GetValue())
			}
			for _, bucket := range m.GetHistogram().GetBucket() {
				fmt.Fprintf(&b, " <=%g", bucket.GetUpperBound())
			}
			b.WriteString("\n")
		}
	}
	fmt.Fprintf(&b, "%d metrics, %d described\n", len(families), countDescriptions(r))
	return b.String()
}

// countDescriptions returns the number of metrics that a registry describes, whether or not they were
// gathered.
func countDescriptions(r *prometheus.Registry) int {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		r.Describe(descriptions)
		close(descriptions)
	}()
	n := 0
	for range descriptions {
		n++
	}
	return n
}
