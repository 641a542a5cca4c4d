package cmd

import (
	"cmp"
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/internal/boundedlog"
)

// logQueue is how many bytes of log may wait to be written; lines beyond are
// dropped and counted. Not measured.
const logQueue = 256 << 10

// A role is a command that runs one process from a settings file until SIGINT or
// SIGTERM ends its context, which Main sees to. Whatever ends it is turned into
// the exit code by Main, too.
type role[S any] struct {
	name    string // of the command
	logName string // role= in the log; empty is name
	usage   string
	// variable names an environment variable with the settings file; empty is none.
	variable string
	load     func(file string) (*S, error)
	// build returns the process. It runs after that.
	build func(p *startup[S]) (runner, error)
	// reload, if there is one, puts the settings into use that are read again at
	// each SIGHUP; without it SIGHUP ends the process.
	reload func(s *S)
	// queuesLog says that the log goes to standard output, through a queue that no
	// request waits for; otherwise it goes to standard error.
	queuesLog bool
}

// A startup is what the process of a role is built from.
type startup[S any] struct {
	settings *S
	logger   log.Logger
	queue    *boundedlog.Writer // of the log, if the role has one
}

// A runner is a process. Run returns once ctx has ended and the process has
// drained, or with the error that ended it.
type runner interface {
	Run(ctx context.Context) error
}

// A runnerFunc is a function that is a runner.
type runnerFunc func(ctx context.Context) error

// Run implements runner.
func (f runnerFunc) Run(ctx context.Context) error { return f(ctx) }

func (r *role[S]) command() *cli.Command {
	flag := &cli.StringFlag{Name: "settings", Usage: "the settings `FILE`, in YAML (docs/settings.md)", Required: true}
	if r.variable != "" {
		flag.Sources = cli.EnvVars(r.variable)
	}
	return &cli.Command{Name: r.name, Usage: r.usage, Flags: []cli.Flag{flag}, Action: r.start}
}

// start reads the settings and runs the process to its end.
func (r *role[S]) start(ctx context.Context, c *cli.Command) error {
	var hangups chan os.Signal
	if r.reload != nil {
		// First of all: until SIGHUP is caught, it ends the process.
		hangups = make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
	}
	file := c.String("settings")
	s, err := r.load(file)
	if err != nil {
		return err
	}
	p := &startup[S]{settings: s, logger: newLogger(c.Root().ErrWriter, cmp.Or(r.logName, r.name))}
	if r.queuesLog {
		p.queue = boundedlog.New(c.Root().Writer, logQueue)
		defer func() { _ = p.queue.Close() }() // it never fails
		p.logger = newLogger(p.queue, r.name)
	}
	built, err := r.build(p)
	if err != nil {
		return err
	}
	if r.reload != nil {
		_ = p.logger.Log("msg", "starting", "file", file)
		reloading, stop := context.WithCancel(ctx)
		defer stop()
		go r.reloadAt(reloading, hangups, file, p.logger)
	}
	return built.Run(ctx)
}

// reloadAt reads the settings again at each hangup until ctx ends. Settings that
// are wrong are logged, and those in use stay.
func (r *role[S]) reloadAt(ctx context.Context, hangups <-chan os.Signal, file string, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			s, err := r.load(file)
			if err == nil {
				r.reload(s)
			}
			_ = logger.Log("msg", "reload", "file", file, "err", err)
		}
	}
}

// newLogger returns the logger of a process: logfmt with the time, in UTC, and the
// role. explain --log skips what stands before ts=, so that comes first.
func newLogger(w io.Writer, role string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	now := log.TimestampFormat(func() time.Time { return time.Now().UTC() }, time.RFC3339Nano)
	return log.With(logger, "ts", now, "role", role)
}
