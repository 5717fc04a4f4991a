/** Keys of the store. All of one kind share a prefix. */
export const keys = {
    owner: "balsamward/owner",
    term: "balsamward/term",
    roster: "balsamward/roster",
    members: "balsamward/members/",
    member: (node: string): string => `balsamward/members/${node}`,
    jobs: "balsamward/jobs/",
    job: (id: string): string => `balsamward/jobs/${id}`,
    cancellation: (id: string): string => `balsamward/jobs/${id}/cancellation`,
    progresses: "balsamward/progress/",
    progress: (id: string): string => `balsamward/progress/${id}`,
} as const;
