/**
 * Finds the runs of one task that workers had at the same time.
 *
 * @param {{ starts: object[], ends: object[] }} record - The record of a case.
 * @returns {string[]} A text for each pair.
 */
export function findDoubles({ starts, ends }) {
    const runs = starts.map(start => ({
        ...start,
        endAt:
            ends.find(({ task, run, worker, at }) =>
                task === start.task && run === start.run && worker === start.worker && at >= start.at
            )?.at ?? Infinity,
    }));
    const pairs = runs.flatMap((run, index) =>
        runs.slice(index + 1)
            .filter(other => other.task === run.task && other.at < run.endAt && run.at < other.endAt)
            .map(other => [run, other])
    );
    return pairs.map(([run, other]) => {
        const togetherMs = Math.round(Math.min(run.endAt, other.endAt) - Math.max(run.at, other.at));
        return `TWICE: task ${run.task} runs as ${run.run} on ${run.worker} and as ${other.run} on ${other.worker} `
            + `for ${togetherMs} ms`;
    });
}
