package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"dykeledge/internal/client"
	"dykeledge/internal/loadgen"
)

func (a *app) loadCommand() *cobra.Command {
	var seed uint64
	var drain, poll time.Duration
	command := &cobra.Command{
		Use: "load FILE", Short: "Submit jobs as a file describes them, and measure what becomes of them", Args: cobra.ExactArgs(1),
		Long: "Submit jobs as a file describes them, and measure what becomes of them. Jobs come at their times, whether or\n" +
			"not earlier ones were answered. See docs/dykectl.md for the file. Exit code 1: a job was told to be over and then\n" +
			"something else, was rejected, or got no certain answer.",
		RunE: func(cmd *cobra.Command, args []string) error {
			profile, err := loadgen.Load(args[0])
			if err != nil {
				return usage(err)
			}
			_, cluster, err := a.cluster()
			if err != nil {
				return err
			}
			if seed == 0 {
				seed = 1 + rand.Uint64N(1e9)
			}
			plan, err := profile.Plan(seed)
			if err != nil {
				return usage(err)
			}
			a.log.Info("load begins", "jobs", len(plan), "seed", seed)
			users := client.New(cluster.Users)
			runner := &loadgen.Runner{To: users, PollEvery: poll}
			users.Retried = runner.Retried
			if cluster.Uploads != "" {
				up := client.New(cluster.Uploads)
				runner.Upload = up.Upload
			}
			res := runner.Run(cmd.Context(), plan, drain)
			res.Seed = seed
			if a.output == "json" {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(res)
			} else {
				err = res.Print(cmd.OutOrStdout())
			}
			if err == nil && res.WentBack+res.Rejected+res.GaveUp > 0 {
				err = fmt.Errorf("%d jobs went back, %d were rejected, %d got no certain answer", res.WentBack, res.Rejected, res.GaveUp)
			}
			if err != nil {
				return failed(err)
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 0, "the same seed draws the same jobs (default: another each time)")
	command.Flags().DurationVar(&drain, "drain", 2*time.Minute, "how long to wait for open jobs after the last one has come")
	command.Flags().DurationVar(&poll, "poll", 5*time.Second, "about how often each job's user asks for it")
	return command
}
