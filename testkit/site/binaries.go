package site

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

const productModule = "teaselgauge.example/teaselgauge"

// Binaries are the paths of the built programs.
type Binaries struct {
	Entry   string
	Agent   string
	Standin string
}

// Build builds the programs into a directory. It passes additional flags to go build.
func Build(ctx context.Context, dir string, flags ...string) (Binaries, error) {
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, flags...)
	args = append(args,
		productModule+"/cmd/teaselgauge-entry",
		productModule+"/cmd/teaselgauge-agent",
		productModule+"/testkit/cmd/standin",
	)
	output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return Binaries{}, fmt.Errorf("go %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return Binaries{
		Entry:   filepath.Join(dir, "teaselgauge-entry"),
		Agent:   filepath.Join(dir, "teaselgauge-agent"),
		Standin: filepath.Join(dir, "standin"),
	}, nil
}

var shared struct {
	once     sync.Once
	dir      string
	binaries Binaries
	err      error
}

// Shared returns the programs, which are built once per test process. CleanShared
// removes them.
func Shared() (Binaries, error) {
	shared.once.Do(func() {
		shared.dir, shared.err = os.MkdirTemp("", "teaselgauge-bin-")
		if shared.err == nil {
			shared.binaries, shared.err = Build(context.Background(), shared.dir)
		}
	})
	return shared.binaries, shared.err
}

// CleanShared removes the programs that Shared built.
func CleanShared() {
	if shared.dir != "" {
		_ = os.RemoveAll(shared.dir)
	}
}
