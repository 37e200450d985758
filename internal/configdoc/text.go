package configdoc

const introduction = `# Configuration

This page is generated from the doc comments and validate tags in the packages ` + "`settings`, `entry` and `catalog`" + `
(` + "`go generate ./internal/configdoc`" + `); a test fails if the page is out of date.

There are two kinds of configuration. The *settings* of a process are one YAML file, read once at start. The *shared
configuration* (services, teams, presets) is one document on the platform, which operators change with ` + "`hoistctl`" + ` while
the system runs.
`

const settingsText = `Decoding is strict: an unknown key, a duplicate key, a missing field or a value out of bounds gives one error with file,
line, field and the permitted values; the exit status is 2 and nothing is started. Durations are written with a unit, for
example ` + "`250ms` or `30s`" + `. A file has at most 1048576 bytes. A *name* has 1 to 63 lower-case letters, digits and hyphens,
with a letter or digit at both ends. A field without a stated default is required or empty.
`

const entryText = "`knapweedhoist entry` reads these from the YAML file that the platform fills in from `deploy/settings.yaml.tmpl`;\n" +
	"`knapweedhoist check-config --entry -c FILE` checks one. An unknown key, a missing field or a value out of bounds ends the\n" +
	"process with status 2.\n"

const exampleText = "`knapweedhoist check-config -c FILE` accepts this file; a test checks that. The `key_hash` is the hash of the key\n" +
	"`dev-operator`, as `printf %s dev-operator | sha256sum` prints it. Use your own keys.\n"

const catalogText = `The fields are those of the JSON items that ` + "`hoistctl service|team|preset edit --file`" + ` reads. An omitted field has its
default value. In addition to the checks of single fields, the whole document is checked: names are unique within each
kind, a model belongs to one service, a bearer key to one team, teams name existing services, and the preset in force
exists.
`

const historyText = "The changes of the last 64 revisions are listed by `hoistctl preset history`, `service history` and `team history`; see\n" +
	"[operations.md](operations-own-interface.md) for the commands.\n"
