package controller

import (
	"fmt"
	"testing"

	"dykeledge/internal/storage"
)

// Reading all jobs page by page cost the square of their number, and each page looked at
// every job and, for each that waits, at every machine.
func TestListsShowEveryRowOnce(t *testing.T) {
	for _, x := range []struct {
		team string
		want int
	}{{"", 501}, {"red", 501}, {"blue", 0}} {
		controller := newCore(t)
		go func() {
			for f := range controller.inbox {
				f()
			}
		}()
		for i := range 500 {
			if err := controller.cache.Apply(storage.JobKey(fmt.Sprintf("job-%06d", (i*7919)%100_000+10)), storage.Encode(storage.JobRecord{Tasks: 1, Team: "red",
				Spec: &storage.SpecRecord{Class: "c", Cpus: 1, Mem: 1, Image: "i"}}), 5, false); err != nil {
				t.Fatal(err)
			}
		}
		after, n := "", 0
		for {
			rows, more, err := controller.JobViews(t.Context(), x.team, after, 200)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range rows {
				if r.ID <= after {
					t.Fatalf("%s comes after %s", r.ID, after)
				}
				after = r.ID
				n++
			}
			if more != (n < x.want) {
				t.Fatalf("more: %v after %d rows of %d", more, n, x.want)
			}
			if !more {
				break
			}
		}
		if n != x.want {
			t.Errorf("team %q: %d rows, want %d", x.team, n, x.want)
		}
	}
}
