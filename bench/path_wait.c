#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "path.h"

static int64_t task_wait_ns(pid_t pid, long tid)
{
	long long run_ns = 0;
	long long wait_ns = 0;
	char path[96];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/task/%ld/schedstat", (int)pid, tid);
	f = fopen(path, "re");
	if (!f)
		return 0;
	if (fscanf(f, "%lld %lld", &run_ns, &wait_ns) != 2)
		wait_ns = 0;
	fclose(f);
	return wait_ns;
}

static bool task_is_link(pid_t pid, long tid)
{
	char name[32] = "";
	char path[96];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/task/%ld/comm", (int)pid, tid);
	f = fopen(path, "re");
	if (!f)
		return false;
	if (!fgets(name, sizeof(name), f))
		name[0] = '\0';
	fclose(f);
	return strcmp(name, "link\n") == 0;
}

void path_waits_begin(struct runqueue_waits *w, pid_t pid)
{
	struct dirent *entry;
	char path[64];
	DIR *dir;

	*w = (struct runqueue_waits){ .at_us = clock_boot_us() };
	snprintf(path, sizeof(path), "/proc/%d/task", (int)pid);
	dir = opendir(path);
	while (dir && (entry = readdir(dir)) && w->count < PATH_WAITS_MAX) {
		long tid = strtol(entry->d_name, NULL, 10);

		if (!task_is_link(pid, tid))
			continue;
		w->tid[w->count] = tid;
		w->ns[w->count] = task_wait_ns(pid, w->tid[w->count]);
		w->count++;
	}
	if (dir)
		closedir(dir);
}

int path_waits_end(const struct runqueue_waits *w, pid_t pid)
{
	int64_t max_ns = 0;

	for (int i = 0; i < w->count; i++) {
		int64_t ns = task_wait_ns(pid, w->tid[i]) - w->ns[i];

		max_ns = ns > max_ns ? ns : max_ns;
	}
	return (int)(max_ns / (clock_boot_us() - w->at_us + 1));
}
