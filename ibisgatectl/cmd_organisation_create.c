#include <argtable2.h>
#include <sodium.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

/* Returns the hashes of the API keys in @files; the keys themselves are never sent. */
static json_t *hash_keys(const struct arg_file *files)
{
	json_t *hashes = json_array();

	for (int i = 0; i < files->count; i++) {
		char hash[HASH_HEX_SIZE];
		char text[512];
		FILE *f = fopen(files->filename[i], "re");
		size_t n;

		if (!f) {
			fprintf(stderr, "ibisgatectl: %s: cannot be read\n", files->filename[i]);
			json_decref(hashes);
			return NULL;
		}
		n = fread(text, 1, sizeof(text), f);
		fclose(f);
		hash_secret_hex(str_trim((struct str){ .data = text, .len = n }), hash);
		json_array_append_new(hashes, json_string(hash));
	}
	return hashes;
}

int cmd_organisation_create(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "name of the organisation");
	struct arg_dbl *weight = arg_dbl0("w", "weight", "N", "weight for fair sharing, default 1");
	struct arg_file *keys =
		arg_filen("k", "key-file", "FILE", 1, 16, "file with an API key; repeatable");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, name, weight, keys, end };
	json_t *hashes;
	int code;

	if (!command_parse(ctl, argc, argv, table, 5, &code))
		goto out;
	code = CTL_USAGE;
	if (sodium_init() < 0)
		goto out;
	hashes = hash_keys(keys);
	if (!hashes)
		goto out;
	code = ctl_change(ctl, "organisation/", name->sval[0],
			  json_pack("{s:f,s:o}", "weight", weight->count ? weight->dval[0] : 1.0,
				    "keys", hashes),
			  CTL_ANY_VERSION);
out:
	arg_freetable(table, 5);
	return code;
}
