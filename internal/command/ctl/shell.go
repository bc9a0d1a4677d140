package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/chzyer/readline"
	"github.com/pkg/errors"
)

// shellCommands are the commands that the shell completes.
var shellCommands = []string{
	"draft", "sign", "submit", "apply", "status", "show", "diff", "holdings", "nodes", "odds", "trace", "state", "shares", "why", "counts", "wrong", "watch", "place", "adopt", "open", "exit",
}

// shell reads commands from the terminal and runs them until 'exit' or the end of the input.
func (a *args) shell() error {
	lines, err := readline.NewEx(readlineConfig())
	if err != nil {
		return err
	}
	defer lines.Close()
	for {
		line, err := lines.Readline()
		if err == readline.ErrInterrupt {
			continue
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if words[0] == "exit" {
			return nil
		}
		a.runLine(words)
	}
}

// readlineConfig returns the settings of the line editor: completion of commands and, if the
// user has a home folder, a history file in it.
func readlineConfig() *readline.Config {
	var inner []readline.PrefixCompleterInterface
	for _, each := range openViews {
		inner = append(inner, readline.PcItem(each))
	}
	var items []readline.PrefixCompleterInterface
	for _, name := range shellCommands {
		if name == "open" {
			items = append(items, readline.PcItem(name, inner...))
			continue
		}
		items = append(items, readline.PcItem(name))
	}
	config := &readline.Config{Prompt: "curlew> ", AutoComplete: readline.NewPrefixCompleter(items...)}
	if home, err := os.UserHomeDir(); err == nil {
		config.HistoryFile = filepath.Join(home, ".quiz_history")
	}
	return config
}

// runLine runs one line of the shell. Options given to the shell itself are the defaults.
// Errors are printed.
func (a *args) runLine(words []string) {
	next := args{Controllers: a.Controllers, JSON: a.JSON}
	parser, err := arg.NewParser(arg.Config{Program: program}, &next)
	if err == nil {
		err = parser.Parse(words)
	}
	switch {
	case errors.Is(err, arg.ErrHelp) || err == nil && (parser.Subcommand() == nil || next.Open != nil && next.Open.empty()):
		parser.WriteHelp(os.Stdout)
	case err != nil:
		fmt.Println("fault:", err)
		parser.WriteUsage(os.Stdout)
	case next.Shell != nil:
		fmt.Println("fault: the shell is running already")
	default:
		if next.Controllers == "" {
			next.Controllers = a.Controllers
		}
		next.JSON = next.JSON || a.JSON
		if err := next.runOnce(); err != nil {
			fmt.Println("fault:", err)
		}
	}
}
