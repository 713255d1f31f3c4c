package testbed

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Programs are the paths of the built programs.
type Programs struct{ Router, StandIn string }

// ProgramsIn returns the paths of the programs in the directory that they were built into.
func ProgramsIn(dir string) Programs {
	return Programs{Router: filepath.Join(dir, "tarragonpoint"), StandIn: filepath.Join(dir, "standin")}
}

// Build builds the programs of this module into a directory.
func Build(ctx context.Context, dir string) (Programs, error) {
	root, err := ModuleRoot(ctx)
	if err != nil {
		return Programs{}, err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", dir, "./cmd/tarragonpoint", "./cmd/standin")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return Programs{}, fmt.Errorf("build: %w: %s", err, output)
	}
	return ProgramsIn(dir), nil
}

// ModuleRoot returns the directory of this module's go.mod.
func ModuleRoot(ctx context.Context) (string, error) {
	output, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	return filepath.Dir(strings.TrimSpace(string(output))), nil
}
