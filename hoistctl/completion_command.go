package hoistctl

// bashCompletion runs hoistctl with GO_FLAGS_COMPLETION set; go-flags then prints
// the candidates.
const bashCompletion = `_hoistctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -F _hoistctl hoistctl
`

// completionCommand prints a shell completion script.
type completionCommand struct {
	app  *app
	Args struct {
		Shell string `positional-arg-name:"shell" description:"bash (default) or zsh"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	switch c.Args.Shell {
	case "", "bash":
	case "zsh":
		c.app.printf("autoload -U +X bashcompinit && bashcompinit\n")
	default:
		return newFailure(Failure{
			Step: "hoistctl/completion", Peer: c.Args.Shell, Detail: "unknown shell", Next: "give bash or zsh", Exit: ExitUsage,
		})
	}
	c.app.printf("%s", bashCompletion)
	return nil
}
