#include "ibisgate/ibisgatectl/command.h"

int cmd_completion(struct ctl *ctl, int argc, char **argv)
{
	printf("# bash completion for ibisgatectl: source <(ibisgatectl completion)\n"
	       "_ibisgatectl() {\n"
	       "    local commands=\"");
	for (const struct command *c = command_table; c->name; c++)
		printf("%s%s", c == command_table ? "" : " ", c->name);
	printf("\"\n"
	       "    local options=\"--admin --token-file --author --json --help\"\n"
	       "    COMPREPLY=($(compgen -W \"$commands $options\" --"
	       " \"${COMP_WORDS[COMP_CWORD]}\"))\n"
	       "}\n"
	       "complete -F _ibisgatectl ibisgatectl\n");
	return CTL_OK;
}
