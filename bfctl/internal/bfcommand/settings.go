package bfcommand

import (
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bilberryflow.org/lib/bfquery/bfresult"
)

// Environment holds the parts of the process that the client uses.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv returns an environment variable.
	Getenv func(name string) string
	// MintID returns a new globally unique change ID.
	MintID func() string
}

// settings are the validated command line and environment.
type settings struct {
	nodes []string
	token string
	// allowNoToken is set for nodes that require no token.
	allowNoToken bool
	json         bool
	timeout      time.Duration
	roots        *x509.CertPool
	commands     string
}

// UsageError reports an invalid setting.
type UsageError struct {
	Setting string
	Reason  string
}

// Error returns the setting and the reason.
func (e *UsageError) Error() string { return e.Setting + ": " + e.Reason }

// exitError ends the client with a code after the help or the version was shown.
type exitError struct{ code int }

func (e *exitError) Error() string { return fmt.Sprintf("exit with code %d", e.code) }

const exitCodes = `
  Exit codes: 0 done, 1 wrong usage or settings, 2 refused, 3 conflict,
  4 outcome unknown, 5 no node reachable. "bfctl help" lists the commands.`

const defaultTimeout = 10 * time.Second

// arguments are the flags as given on the command line.
type arguments struct {
	nodes     string
	tokenFile string
	noToken   bool
	caFile    string
	json      bool
	timeout   time.Duration
	command   string
}

func readSettings(args []string, env Environment) (settings, error) {
	a, err := parseArguments(args)
	if err != nil {
		return settings{}, err
	}
	s := settings{json: a.json, timeout: a.timeout, allowNoToken: a.noToken}
	if s.timeout <= 0 {
		return settings{}, &UsageError{Setting: "--timeout", Reason: "must be above zero"}
	}
	for _, node := range strings.Split(a.nodes, ",") {
		if node = strings.TrimSpace(node); node != "" {
			s.nodes = append(s.nodes, node)
		}
	}
	if s.token, err = readToken(a.tokenFile, env); err != nil {
		return settings{}, err
	}
	if s.roots, err = readRoots(a.caFile); err != nil {
		return settings{}, err
	}
	s.commands, err = readCommands(a.command, env)
	return s, err
}

func parseArguments(args []string) (a arguments, err error) {
	a.timeout = defaultTimeout
	parser := flaggy.NewParser("bfctl")
	parser.Description = "Sends commands to a node of bilberryflow."
	parser.Version = version()
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = exitCodes
	parser.String(&a.nodes, "n", "node", "Address of a node's operator port, or several with commas: ADDR[,ADDR...].")
	parser.String(&a.tokenFile, "t", "token-file", "File with the token; without it BFCTL_TOKEN is taken.")
	parser.Bool(&a.noToken, "", "no-token", "Send no token: nodes whose configuration the platform keeps ask for none.")
	parser.String(&a.caFile, "", "ca", "PEM file of the authorities that sign the nodes' certificates; turns on TLS.")
	parser.Bool(&a.json, "j", "json", "Write one JSON document a line for each result.")
	parser.Duration(&a.timeout, "", "timeout", "How long to wait for one node's answer.")
	parser.AddPositionalValue(&a.command, "COMMAND", 1, false, "Commands in quotes; without them they are read from standard input.")
	// On wrong usage the parser would exit with code 2, which scripts take for a command
	// that the node refused. With PanicInsteadOfExit the code becomes the one for wrong
	// usage.
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if value := recover(); value != nil {
			err = panicError(value)
		}
	}()
	if err := parser.ParseArgs(escapeFlagNames(args)); err != nil {
		return arguments{}, &UsageError{Setting: "arguments", Reason: err.Error()}
	}
	return a, nil
}

// escapeFlagNames keeps the parser from taking the command "help" for its own flag:
// it compares positional arguments with the names of its flags too. The appended space
// has no meaning in a command.
func escapeFlagNames(args []string) []string {
	list := slices.Clone(args)
	for i, arg := range list {
		if arg == "help" || arg == "h" || arg == "version" {
			list[i] = arg + " "
		}
	}
	return list
}

// emptyArgument is the parser's panic value for an empty command.
const emptyArgument = "can't add parsed value with no key or value"

// panicError converts the parser's panic value to an error.
func panicError(value any) error {
	text, isText := value.(string)
	if !isText {
		panic(value)
	}
	switch code, isExit := strings.CutPrefix(text, "Panic instead of exit with code: "); {
	case text == emptyArgument:
		return &UsageError{Setting: "COMMAND", Reason: `it is empty; "bfctl help" lists them`}
	case !isExit:
		return &UsageError{Setting: "arguments", Reason: text}
	case code == "0":
		return &exitError{code: bfresult.ExitDone}
	}
	return &exitError{code: bfresult.ExitUsage}
}

func version() string {
	if info, found := debug.ReadBuildInfo(); found && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}

func readToken(file string, env Environment) (string, error) {
	if file == "" {
		return env.Getenv("BFCTL_TOKEN"), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &UsageError{Setting: "--token-file", Reason: err.Error()}
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", &UsageError{Setting: "--token-file", Reason: file + " is empty"}
	}
	return token, nil
}

func readRoots(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Setting: "--ca", Reason: err.Error()}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, &UsageError{Setting: "--ca", Reason: file + " holds no PEM certificate"}
	}
	return roots, nil
}

func readCommands(command string, env Environment) (string, error) {
	if command != "" {
		return command, nil
	}
	const maxCommandBytes = 1 << 20
	data, err := io.ReadAll(io.LimitReader(env.Stdin, maxCommandBytes))
	if err != nil {
		return "", &UsageError{Setting: "standard input", Reason: err.Error()}
	}
	return string(data), nil
}

// requireNode validates what only commands that go to a node need.
func (s settings) requireNode() error {
	if len(s.nodes) == 0 {
		return &UsageError{Setting: "--node", Reason: "give the address of a node's operator port"}
	}
	if s.token == "" && !s.allowNoToken {
		return &UsageError{Setting: "--token-file", Reason: "give it, or set BFCTL_TOKEN; or --no-token for nodes that ask for none"}
	}
	return nil
}

// isUsage reports whether an error is an invalid setting.
func isUsage(err error) bool {
	var usage *UsageError
	return errors.As(err, &usage)
}
