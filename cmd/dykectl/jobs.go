package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"dykeledge/internal/client"
	"dykeledge/internal/protocol"
	"dykeledge/internal/wait"
)

// usersClient returns a client of the users' API at an address. The client logs each request that it retries.
func (a *app) usersClient(address string) *client.Client {
	users := client.New(address)
	users.Retried = func(status int, err error) {
		a.log.Info("request got no definite answer, retrying", "status", status, "err", err)
	}
	return users
}

// requestError converts the error of a user's request to one that carries the exit code. If the outcome of
// the request is unknown, it adds how to find it out.
func requestError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, client.ErrInconclusive) {
		err = fmt.Errorf("%w; the request may still have been applied: check the job with dykectl status, or repeat the command with the same job id", err)
	}
	return failed(err)
}

// printJobs prints the states of jobs as a table or as JSON.
func (a *app) printJobs(w io.Writer, list []protocol.JobState) error {
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{s.ID, string(s.Status), strconv.Itoa(s.Done), strconv.Itoa(s.Running), strconv.Itoa(s.UnmetDependencies)})
	}
	return a.print(w, list, []string{"JOB", "STATUS", "DONE", "RUNNING", "AWAITS"}, rows)
}

// submitOptions holds the flags of the submit command.
type submitOptions struct {
	job                                            protocol.Submission
	file, priority                                 string
	service, onDemandOnly                          bool
	estimate, checkpoint, checkpointCost, deadline time.Duration
	actualRunTime                                  time.Duration // on a local cluster: how long each task runs; 0: its estimate
	alwaysFails                                    bool          // on a local cluster: tasks fail on every machine
	wait                                           bool          // until the job has a final status
}

// submitPollInterval is the time between two status requests of submit --wait.
const submitPollInterval = 2 * time.Second

func (a *app) submitCommand() *cobra.Command {
	options := &submitOptions{}
	command := &cobra.Command{
		Use: "submit", Short: "Submit a job", Args: cobra.NoArgs,
		Long: "Submit a job. A command that got no answer may be repeated with the same --id: there will be one job.",
		Example: "  dykectl submit --team red --tasks 8 --cpus 2 --estimate 30s --due 5m\n" +
			"  dykectl submit --file job.json        # as the protocol has it",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.submit(cmd.Context(), cmd.OutOrStdout(), options)
		},
	}
	options.addFlags(command)
	return command
}

// addFlags defines the flags of the submit command.
func (o *submitOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVarP(&o.file, "file", "f", "", "submit what this `FILE` holds, as JSON; the other flags are not used")
	flags.StringVar(&o.job.ID, "id", "", "the job's `ID`, like job-000412 (default: a new one)")
	flags.StringVar(&o.job.Team, "team", "", "the `TEAM` whose guarantee and limit apply")
	flags.StringVar(&o.job.Class, "class", "manual", "class of jobs that it belongs to")
	flags.StringVar(&o.priority, "priority", "normal", "low, normal, high or production")
	flags.IntVar(&o.job.Tasks, "tasks", 1, "number of tasks")
	flags.Float64Var(&o.job.Cpus, "cpus", 1, "processors of each task")
	flags.Float64Var(&o.job.Gpus, "gpus", 0, "accelerators of each task")
	flags.Float64Var(&o.job.MemGB, "mem", 1, "memory of each task in GB")
	flags.StringVar(&o.job.Image, "image", "default", "image that a machine must have")
	flags.Float64Var(&o.job.ImageGB, "image-gb", 0.2, "its size in GB")
	flags.StringSliceVar(&o.job.Types, "type", nil, "allowed machine `TYPE` (may be repeated; default: any)")
	flags.StringVar(&o.job.Zone, "zone", "", "the only allowed `ZONE`")
	flags.BoolVar(&o.job.OneZone, "same-zone", false, "all tasks in one zone")
	flags.BoolVar(&o.job.Spread, "half-a-zone", false, "at most half of the tasks in one zone")
	flags.BoolVar(&o.onDemandOnly, "ordinary", false, "no spot machines")
	flags.BoolVar(&o.service, "service", false, "runs until it is cancelled")
	flags.DurationVar(&o.estimate, "estimate", 10*time.Second, "how long a task will run")
	flags.DurationVar(&o.checkpoint, "checkpoint", 0, "progress after which a task saves (0: never)")
	flags.DurationVar(&o.checkpointCost, "save", 0, "how long saving takes when it is stopped")
	flags.DurationVar(&o.deadline, "due", 0, "deadline, from now (0: none)")
	flags.StringSliceVar(&o.job.Dependencies, "after", nil, "`ID` of a job that must be done before (may be repeated)")
	flags.DurationVar(&o.actualRunTime, "run", 0, "on an emulated cluster: how long a task really runs (default: as estimated)")
	flags.BoolVar(&o.alwaysFails, "fails", false, "on an emulated cluster: it fails on every machine")
	flags.BoolVar(&o.wait, "wait", false, "wait until the job is over")
}

// submit submits a job and, with --wait, waits until it has a final status.
func (a *app) submit(ctx context.Context, out io.Writer, options *submitOptions) error {
	_, cluster, err := a.selectedContext()
	if err != nil {
		return err
	}
	body, err := options.body()
	if err != nil {
		return usageError(err)
	}
	if cluster.Uploads != "" {
		if err := options.upload(cluster.Uploads, body); err != nil {
			return err
		}
	}
	users, id := a.usersClient(cluster.Users), options.job.ID
	state, err := users.Submit(ctx, body)
	if err != nil {
		return requestError(fmt.Errorf("%s: %w", id, err))
	}
	for options.wait && !state.Status.Final() {
		if !wait.For(ctx, submitPollInterval) {
			return failed(fmt.Errorf("job %s has not ended: its status is %s", id, state.Status))
		}
		if next, err := users.Status(id); err == nil {
			state = next
		}
	}
	return a.printJobs(out, []protocol.JobState{state})
}

// body returns the JSON body of the submission, from the file if one is given and from the flags otherwise.
// It also stores the job in o.job.
func (o *submitOptions) body() ([]byte, error) {
	if o.file == "" {
		return o.bodyFromFlags()
	}
	body, err := os.ReadFile(o.file)
	if err != nil {
		return nil, err
	}
	job, err := protocol.ParseSubmission(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.file, err)
	}
	o.job = *job
	return body, nil
}

// bodyFromFlags returns the JSON body of the job that the flags describe, with a random id if none is given.
func (o *submitOptions) bodyFromFlags() ([]byte, error) {
	priority, ok := protocol.ParsePriority(o.priority)
	if !ok {
		return nil, errors.New("--priority must be low, normal, high or production")
	}
	o.job.Priority, o.job.Spot = priority, !o.onDemandOnly
	if o.service {
		o.job.Shape, o.estimate = protocol.Service, 0
	}
	if o.job.ID == "" {
		o.job.ID = fmt.Sprintf("job-%012d", rand.Uint64N(1e12))
	}
	o.job.EstimateS, o.job.CheckpointS = o.estimate.Seconds(), o.checkpoint.Seconds()
	o.job.CheckpointCostS, o.job.DeadlineS = o.checkpointCost.Seconds(), o.deadline.Seconds()
	body, err := protocol.EncodeSubmission(&o.job)
	if err != nil {
		return nil, err
	}
	_, err = protocol.ParseSubmission(body)
	return body, err
}

// upload stores the job's description at the address from which the workers of a local cluster fetch it.
func (o *submitOptions) upload(address string, body []byte) error {
	run := o.actualRunTime
	if run == 0 {
		run = time.Duration(o.job.EstimateS * float64(time.Second))
	}
	description, err := client.Describe(body, run, o.alwaysFails)
	if err != nil {
		return usageError(err)
	}
	if err := client.New(address).Upload(o.job.ID, description); err != nil {
		return failed(err)
	}
	return nil
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status JOB...", Short: "Tell how jobs stand", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.forEachJob(cmd, args, func(u *client.Client, id string) (protocol.JobState, error) { return u.Status(id) })
	}}
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{Use: "cancel JOB...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.forEachJob(cmd, args, func(u *client.Client, id string) (protocol.JobState, error) { return u.Cancel(cmd.Context(), id) })
	}}
}

// forEachJob calls do for each job id and prints the states that it returns. It goes on after an error and
// returns the first one.
func (a *app) forEachJob(cmd *cobra.Command, ids []string, do func(*client.Client, string) (protocol.JobState, error)) error {
	_, cluster, err := a.selectedContext()
	if err != nil {
		return err
	}
	for _, id := range ids {
		if !protocol.ValidJobID(id) {
			return usageError(fmt.Errorf("invalid job id %q: expected an id like job-000412", id))
		}
	}
	users := a.usersClient(cluster.Users)
	list := []protocol.JobState{}
	var first error
	for _, id := range ids {
		state, err := do(users, id)
		if err != nil {
			if first == nil {
				first = fmt.Errorf("%s: %w", id, err)
			}
			continue
		}
		list = append(list, state)
	}
	if len(list) > 0 {
		if err := a.printJobs(cmd.OutOrStdout(), list); err != nil {
			return failed(err)
		}
	}
	return requestError(first)
}
