package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// unfinishedListStore is a state service that never answers the list of all records.
type unfinishedListStore struct {
	StateStore
	layout    int      // version in the layout record; 0: there is none
	catalog   bool     // whether the catalog record exists
	down      bool     // whether every request is refused
	jobExists bool     // whether transactions fail because the job exists already
	puts      []string // keys of the committed changes
}

func (s *unfinishedListStore) List(ctx context.Context, prefix, _ string, _ int) (protocol.Page, error) {
	if s.down {
		return protocol.Page{}, protocol.ErrRefused
	}
	item := func(v any) (protocol.Page, error) {
		return protocol.Page{Items: []protocol.Item{{Key: prefix, Value: storage.Encode(v), Version: 5}}}, nil
	}
	switch {
	case prefix == storage.LayoutKey && s.layout > 0:
		return item(storage.LayoutRecord{Version: s.layout})
	case prefix == storage.CatalogKey && s.catalog:
		return item(protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 8}}})
	case prefix == storage.Root:
		<-ctx.Done()
		return protocol.Page{}, ctx.Err()
	}
	return protocol.Page{}, nil
}

func (s *unfinishedListStore) Txn(_ context.Context, t protocol.Txn, _ protocol.RequestPriority) (uint64, []string, error) {
	switch {
	case s.down:
		return 0, nil, protocol.ErrRefused
	case s.jobExists:
		return 9, []string{t.If[0].Key}, nil
	}
	for _, c := range t.Then {
		s.puts = append(s.puts, c.Put)
	}
	return 9, nil, nil
}

func (*unfinishedListStore) Grant(context.Context, time.Duration) (uint64, error) {
	return 0, protocol.ErrRefused
}
func (*unfinishedListStore) Revision(context.Context) (uint64, error) { return 0, protocol.ErrRefused }

// partialCloud is a cloud that answers no request, or only the one for its catalog.
type partialCloud struct {
	Cloud
	catalog bool
}

func (c partialCloud) Catalog(context.Context) (*protocol.Catalog, error) {
	if !c.catalog {
		return nil, protocol.ErrOutcomeUnknown
	}
	return &protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 8}}}, nil
}

// submissionBody returns the body of a submission of a small job with the given dependencies.
func submissionBody(t *testing.T, awaits []string) []byte {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"id": "job-000007", "jobclass": "c", "crew": "red", "shape": "batch", "urgency": "normal",
		"shards": 2, "cpus": 1.0, "accelerators": 0.0, "ramGb": 1.0, "kit": "i", "pullGb": 0.5, "hulls": nil, "berth": nil,
		"together": false, "scatter": false, "loaners": true, "expectedS": 5.0, "markEveryS": 0.0, "markCostS": 0.0, "dueS": nil, "awaits": awaits})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against restarted controllers refusing submissions until they have read every record. With
// 1235 machines that took seconds after all controllers had ended, although accepting a job needs
// only the layout and the catalog.
func TestRestartedControllerAcceptsJobsBeforeFullLoad(t *testing.T) {
	for _, test := range []struct {
		name   string
		store  unfinishedListStore
		cloud  bool
		awaits []string
		served bool // another controller's peer heartbeat reports that the state service answers it
		ready  bool
		status int
	}{
		{name: "the layout gate is open and the catalog is recorded", store: unfinishedListStore{layout: storage.LayoutPacked, catalog: true}, ready: true, status: 201},
		{name: "the catalog comes from the cloud", store: unfinishedListStore{layout: storage.LayoutPacked}, cloud: true, ready: true, status: 201},
		{name: "no machine type is known", store: unfinishedListStore{layout: storage.LayoutPacked}, status: 503},
		{name: "the layout gate is closed: the records may be of an earlier layout", store: unfinishedListStore{layout: storage.LayoutPlain, catalog: true}, status: 503},
		{name: "no layout record yet", store: unfinishedListStore{catalog: true}, status: 503},
		{name: "the job ID is taken", store: unfinishedListStore{layout: storage.LayoutPacked, catalog: true, jobExists: true}, ready: true, status: 503},
		{name: "the job has a dependency", store: unfinishedListStore{layout: storage.LayoutPacked, catalog: true}, awaits: []string{"job-000001"}, ready: true, status: 503},
		{name: "an outage", store: unfinishedListStore{down: true}, cloud: true, ready: true, status: 503},
		{name: "the state service refuses only this controller", store: unfinishedListStore{down: true}, cloud: true, served: true, status: 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}},
					Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 40}, State: config.State{TxnOps: 12, ValueKB: 32}}}
				store := test.store
				controller := New(cfg, &store, partialCloud{catalog: test.cloud}, nil, slog.New(slog.DiscardHandler), DefaultTiming())
				go controller.Run(ctx)
				time.Sleep(3 * time.Second)
				if test.served {
					controller.ReceivePeerHeartbeat("n1", protocol.PeerHeartbeat{StateOK: true, Revision: 4})
				}
				if got := controller.Ready(ctx); got != test.ready {
					t.Errorf("ready: %v, want %v", got, test.ready)
				}
				answer := controller.Submit(ctx, submissionBody(t, test.awaits))
				if answer.Status != test.status || (answer.Status == 503 && answer.RetryAfter < 1) {
					t.Errorf("submission: %d (Retry-After %d), want %d", answer.Status, answer.RetryAfter, test.status)
				}
				if committed := slices.Contains(store.puts, storage.JobKey("job-000007")); committed != (test.status == 201) {
					t.Errorf("job record committed: %v; it must be committed exactly with status 201", committed)
				}
				// Queries about records that have not been read are refused.
				if queried := controller.Query(ctx, "job-000001"); queried.Status != 503 {
					t.Errorf("query of a job: %d, want 503", queried.Status)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
