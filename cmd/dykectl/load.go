package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"dykeledge/internal/client"
	"dykeledge/internal/loadgen"
)

// loadOptions holds the flags of the load command.
type loadOptions struct {
	seed                             uint64        // 0: a random seed
	drainTimeout, statusPollInterval time.Duration // how long to wait for open jobs at the end; between status requests for a job
}

func (a *app) loadCommand() *cobra.Command {
	options := &loadOptions{}
	command := &cobra.Command{
		Use: "load FILE", Short: "Submit jobs as a file describes them, and measure what becomes of them", Args: cobra.ExactArgs(1),
		Long: "Submit jobs as a file describes them, and measure what becomes of them. Jobs come at their times, whether or\n" +
			"not earlier ones were answered. See docs/dykectl.md for the file. Exit code 1: a job was told to be over and then\n" +
			"something else, was rejected, or got no certain answer.",
		RunE: func(cmd *cobra.Command, args []string) error {
			profile, err := loadgen.Load(args[0])
			if err != nil {
				return usageError(err)
			}
			return a.load(cmd.Context(), cmd.OutOrStdout(), profile, options)
		},
	}
	command.Flags().Uint64Var(&options.seed, "seed", 0, "the same seed draws the same jobs (default: another each time)")
	command.Flags().DurationVar(&options.drainTimeout, "drain", 2*time.Minute, "how long to wait for open jobs after the last one has come")
	command.Flags().DurationVar(&options.statusPollInterval, "poll", 5*time.Second, "about how often each job's user asks for it")
	return command
}

// load submits the jobs of a profile to the cluster and prints the measured result. It fails if a job was
// reported with another status after a final one, was rejected, or got no definite answer.
func (a *app) load(ctx context.Context, out io.Writer, profile *loadgen.Profile, options *loadOptions) error {
	_, cluster, err := a.selectedContext()
	if err != nil {
		return err
	}
	seed := options.seed
	if seed == 0 {
		seed = 1 + rand.Uint64N(1e9)
	}
	plan, err := profile.Plan(seed)
	if err != nil {
		return usageError(err)
	}
	a.log.Info("load run started", "jobs", len(plan), "seed", seed)
	users := client.New(cluster.Users)
	runner := &loadgen.Runner{Deployment: users, PollEvery: options.statusPollInterval}
	users.Retried = runner.Retried
	if cluster.Uploads != "" {
		runner.Upload = client.New(cluster.Uploads).Upload
	}
	result := runner.Run(ctx, plan, options.drainTimeout)
	result.Seed = seed
	if a.output == outputJSON {
		err = json.NewEncoder(out).Encode(result)
	} else {
		err = result.Print(out)
	}
	if err == nil && result.Regressed+result.Rejected+result.Inconclusive > 0 {
		err = fmt.Errorf("%d jobs went back, %d were rejected, %d got no certain answer", result.Regressed, result.Rejected, result.Inconclusive)
	}
	if err != nil {
		return failed(err)
	}
	return nil
}
