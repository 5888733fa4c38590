package controller

import (
	"fmt"
	"testing"

	"dykeledge/internal/storage"
)

// TestJobViewsListEachJobOnce checks that paging through all jobs yields every job once, in order of their ids.
// Each page starts after the last id of the page before: when each page visited every job, and every machine
// for each waiting job, the cost of paging was quadratic in the number of jobs.
func TestJobViewsListEachJobOnce(t *testing.T) {
	for _, test := range []struct {
		team string
		want int
	}{{"", 501}, {"red", 501}, {"blue", 0}} {
		t.Run(fmt.Sprintf("team %q", test.team), func(t *testing.T) {
			controller := newCore(t)
			serveCalls(t, controller)
			for i := range 500 {
				key := storage.JobKey(fmt.Sprintf("job-%06d", (i*7919)%100_000+10))
				record := storage.JobRecord{Tasks: 1, Team: "red", Spec: &storage.SpecRecord{Class: "c", Cpus: 1, Mem: 1, Image: "i"}}
				applyRecord(t, controller, key, record, 5)
			}
			after, count := "", 0
			for {
				rows, more, err := controller.JobViews(t.Context(), test.team, after, 200)
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range rows {
					if r.ID <= after {
						t.Fatalf("%s comes after %s", r.ID, after)
					}
					after = r.ID
					count++
				}
				if more != (count < test.want) {
					t.Fatalf("more is %v after %d rows of %d", more, count, test.want)
				}
				if !more {
					break
				}
			}
			if count != test.want {
				t.Errorf("%d rows, want %d", count, test.want)
			}
		})
	}
}
