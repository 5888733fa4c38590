package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"dykeledge/internal/scaletest"
	"dykeledge/internal/textout"
)

// cellCommand is the hidden subcommand that `dykectl scale run` starts as a process for each cell.
const cellCommand = "cell"

func (a *app) scaleCommand() *cobra.Command {
	command := &cobra.Command{Use: "scale", Short: "Measure controllers at a size that is yet to come",
		Long: "Measure controllers at a size that is yet to come: real controllers, everything else hollow, on loopback. See\n" +
			"docs/CAPACITY.md for what came of it."}
	command.AddCommand(a.scaleRunCommand(), a.scaleReportCommand(), &cobra.Command{
		Use: "profile", Short: "Print the profile that is played unless another is named", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return toml.NewEncoder(cmd.OutOrStdout()).Encode(scaletest.DefaultProfile())
		},
	}, &cobra.Command{
		Use: cellCommand, Short: "Play one cell that is read from standard input", Args: cobra.NoArgs, Hidden: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(a.stderr, nil))
			if err := scaletest.ServeCell(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout(), log); err != nil {
				return failed(err)
			}
			return nil
		},
	})
	return command
}

// scaleOptions holds the flags of the scale run command.
type scaleOptions struct {
	profile, cut, fraction             string // profile is the path of a file; "": the default profile
	regions                            string
	controllerProgram, dir, pointsFile string
	runName, commit                    string // stored in the points
	seed                               uint64
	warmUp, measure                    time.Duration
}

func (a *app) scaleRunCommand() *cobra.Command {
	var options scaleOptions
	command := &cobra.Command{
		Use: "run", Short: "Play a part of a profile and measure what it costs", Args: cobra.NoArgs,
		Long: "Play a part of a profile and measure what it costs. Each region is a process with its own controllers, state service,\n" +
			"cloud, workers and users. Ctrl-C ends all of it. Exit code 1: a rule was broken, a controller ended by itself, or\n" +
			"nothing was started. A hollow side that could not keep up is told, and its points are marked.\n\n" +
			"  peak        task starts at the rate of the peak\n" +
			"  population  all workers and running tasks, at a lower start rate\n" +
			"  changes     peak with changes of teams' guarantees and limits\n" +
			"  troubles    changes with a day's failures pressed into the measured time, a rack, a switch, a zone, ends of controllers",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.scaleRun(cmd.Context(), cmd.OutOrStdout(), &options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.profile, "profile", "", "profile `FILE` (default: `dykectl scale profile`)")
	flags.StringVar(&options.cut, "cut", string(scaletest.Peak), "peak, population, changes or troubles")
	flags.StringVar(&options.regions, "regions", string(scaletest.LargestRegion), "largest or all")
	flags.StringVar(&options.fraction, "fraction", "1/32", "part of the profile's size, as 0.25 or 1/4")
	flags.StringVar(&options.controllerProgram, "controller", "", "the controller's `PROGRAM` (default: dykeledge beside this one, in target, or on the path)")
	flags.StringVar(&options.dir, "dir", "", "`FOLDER` for settings and logs, kept afterwards (default: one that is removed)")
	flags.StringVar(&options.pointsFile, "out", "", "`FILE` to which the points are added as lines of JSON")
	flags.StringVar(&options.runName, "name", "run", "name of the run in its points; lines are fitted through those of \"ladder\"")
	flags.StringVar(&options.commit, "commit", "", "commit of the controller that is measured, for the points")
	flags.Uint64Var(&options.seed, "seed", 1, "of the load and the machines")
	flags.DurationVar(&options.warmUp, "warm-up", 40*time.Second, "time before it is measured")
	flags.DurationVar(&options.measure, "measure", time.Minute, "measured time")
	return command
}

// parseFraction parses a fraction above 0 and up to 1, written as 0.25 or 1/4.
func parseFraction(text string) (float64, error) {
	numerator, denominator, hasDenominator := strings.Cut(text, "/")
	n, err := strconv.ParseFloat(numerator, 64)
	d := 1.0
	if err == nil && hasDenominator {
		d, err = strconv.ParseFloat(denominator, 64)
	}
	if err != nil || !(n > 0 && d > 0 && n/d <= 1) {
		return 0, errors.New("--fraction must be above 0 and at most 1, written as 0.25 or 1/4")
	}
	return n / d, nil
}

// request validates the flags and returns the profile and the request that they describe.
func (o *scaleOptions) request() (scaletest.Profile, scaletest.Request, error) {
	profile := scaletest.DefaultProfile()
	request := scaletest.Request{Run: o.runName, Commit: o.commit, Scenario: scaletest.Scenario(o.cut), Regions: scaletest.Regions(o.regions), Seed: o.seed,
		WarmUpS: o.warmUp.Seconds(), MeasureS: o.measure.Seconds(), Dir: o.dir}
	var err error
	if o.profile != "" {
		if profile, err = scaletest.LoadProfile(o.profile); err != nil {
			return profile, request, err
		}
	}
	if request.Fraction, err = parseFraction(o.fraction); err != nil {
		return profile, request, err
	}
	switch {
	case !slices.Contains(scaletest.Scenarios(), request.Scenario):
		return profile, request, errors.New("--cut must be peak, population, changes or troubles")
	case request.Regions != scaletest.LargestRegion && request.Regions != scaletest.AllRegions:
		return profile, request, errors.New("--regions must be largest or all")
	case o.warmUp < time.Second || o.measure < time.Second || o.warmUp+o.measure > time.Hour:
		return profile, request, errors.New("--warm-up and --measure must each be at least 1s, and together at most 1h")
	}
	request.Program, err = findControllerProgram(o.controllerProgram)
	return profile, request, err
}

// scaleRun runs the cells of a request, each in its own process, and writes and prints their points. A
// temporary folder is removed only if the run succeeds.
func (a *app) scaleRun(ctx context.Context, out io.Writer, options *scaleOptions) (err error) {
	profile, request, err := options.request()
	if err != nil {
		return usageError(err)
	}
	if request.Dir == "" {
		if request.Dir, err = os.MkdirTemp("", "dykectl-scale-"); err != nil {
			return failed(err)
		}
		defer func() {
			if err == nil { // the logs in the folder are needed to find the cause of an error
				err = os.RemoveAll(request.Dir)
			}
		}()
	}
	if request.Dir, err = filepath.Abs(request.Dir); err != nil {
		return failed(err)
	}
	self, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	launcher := scaletest.Launcher{Stderr: a.stderr, Command: func(ctx context.Context) *exec.Cmd {
		return exec.CommandContext(ctx, self, "scale", cellCommand)
	}}
	points, err := launcher.Run(ctx, profile.Cells(request))
	if err != nil {
		err = fmt.Errorf("%w (logs are in %s)", err, request.Dir)
	}
	if err = errors.Join(err, options.writePoints(points), a.printPoints(out, points)); err != nil {
		return failed(err)
	}
	return nil
}

// writePoints appends the points to the file that --out names, if any. It returns the errors of writing and
// the verdicts of the points. An entry is nil if its cell returned no point.
func (o *scaleOptions) writePoints(points []*scaletest.Point) (err error) {
	out := io.Discard
	if o.pointsFile != "" {
		file, err := os.OpenFile(o.pointsFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = file
	}
	var problems []error
	for _, p := range points {
		if p != nil {
			problems = append(problems, p.Write(out), p.Verdict())
		}
	}
	return errors.Join(problems...)
}

// printPoints prints a table with a row for each cell that returned a point.
func (a *app) printPoints(out io.Writer, points []*scaletest.Point) error {
	table := textout.NewTable(out, tabwriter.AlignRight)
	table.Println("region\tworkers\toffered/s\tstarts/s\trunning\turgent p50\tp99\tmax ms\tworker B/s\tlease kills\thollow cores\tlate p99 ms\tcontrollers: cores, MB, sockets\t")
	for _, point := range points {
		if point == nil {
			continue
		}
		mark := ""
		if point.Overloaded {
			mark = " OVERLOADED"
		}
		table.Printf("%s\t%d\t%.1f\t%.1f\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%.2f\t%.1f%s\t", point.Region, point.WorkersUp, point.OfferedStartsPerS, point.StartsPerS, point.Running,
			point.UrgentWaitMs.P50, point.UrgentWaitMs.P99, point.UrgentWaitMs.Max, point.WorkerOutBps+point.WorkerInBps, point.LeaseKills, point.HollowCores, point.LatenessMs.P99, mark)
		for _, c := range point.Controllers {
			table.Printf(" %s %.2f, %.0f, %d;", c.Role, c.Cores, c.MemMB, c.Sockets)
		}
		table.Println("\t")
	}
	return table.Flush()
}

func (a *app) scaleReportCommand() *cobra.Command {
	return &cobra.Command{
		Use: "report [FOLDER]", Short: "Print the tables that come of stored points", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := "docs/scale"
			if len(args) > 0 {
				dir = args[0]
			}
			points, err := scaletest.ReadPoints(dir)
			if err != nil {
				return usageError(err)
			}
			if err := scaletest.Report(cmd.OutOrStdout(), points); err != nil {
				return failed(err)
			}
			return nil
		},
	}
}
