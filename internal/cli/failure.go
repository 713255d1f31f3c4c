package cli

import (
	"errors"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// Failure is an error that ends a command with a result code.
type Failure struct {
	Code    result.Code
	Message string
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

func failure(code result.Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...)}
}

// report formats the failure with its code, its name and what to do. Messages of several lines are indented.
func (f *Failure) report() string {
	info := result.Lookup(f.Code)
	message := f.Message
	if strings.Contains(message, "\n") {
		message = "\n  " + strings.ReplaceAll(message, "\n", "\n  ") + "\n"
	}
	return fmt.Sprintf("tarragonpoint: %d %s: %s; what to do: %s", info.Code, info.Name, message, info.Action)
}

func (f *Failure) exit() int {
	if code := result.Lookup(f.Code).Exit; code != result.ExitOK {
		return code
	}
	return result.ExitFailure
}

// resultCodes maps error types to result codes.
var resultCodes = []struct {
	kind *errorx.Type
	code result.Code
}{
	{config.ErrSyntax, result.ConfigSyntax},
	{config.ErrInvalid, result.ConfigInvalid},
	{config.ErrConflict, result.ConfigConflict},
	{config.ErrTooLarge, result.ConfigTooLarge},
	{platform.ErrUnavailable, result.LogUnavailable},
	{platform.ErrExpired, result.LogUnavailable},
	{settings.ErrInvalid, result.SettingsInvalid},
	{kernel.ErrUnknownPlugin, result.SettingsInvalid},
	{kernel.ErrLifecycle, result.SettingsInvalid},
}

// markInternal converts an untyped error of a command to a Failure with the code Internal, so that asFailure does not
// take it for an error of the flag parser.
func markInternal(err error) error {
	var failed *Failure
	if err == nil || errors.As(err, &failed) || errorx.Cast(err) != nil {
		return err
	}
	return failure(result.Internal, "%v", err)
}

// asFailure converts an error to a Failure. It treats an untyped error as a usage error, since errors of the flag
// parser have no type.
func asFailure(err error) *Failure {
	var failed *Failure
	if errors.As(err, &failed) {
		return failed
	}
	typed := errorx.Cast(err)
	if typed == nil {
		return failure(result.UsageError, "%v", err)
	}
	return failure(codeOf(err), "%s", joinMessages(err))
}

// codeOf returns the code of the outermost error in the chain of causes whose type has one, or result.Internal.
func codeOf(err error) result.Code {
	for typed := errorx.Cast(err); typed != nil; typed = errorx.Cast(typed.Cause()) {
		for _, known := range resultCodes {
			if typed.IsOfType(known.kind) {
				return known.code
			}
		}
	}
	return result.Internal
}

// joinMessages returns the messages of an error and its causes without the names of their types.
func joinMessages(err error) string {
	var parts []string
	for err != nil {
		typed := errorx.Cast(err)
		if typed == nil {
			parts = append(parts, err.Error())
			break
		}
		if message := typed.Message(); message != "" {
			parts = append(parts, message)
		}
		err = typed.Cause()
	}
	return strings.Join(parts, ": ")
}
