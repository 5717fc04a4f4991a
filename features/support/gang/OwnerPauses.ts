/** Blocks the calls of paused and dead owners of a cell. An owner is identified by its epoch. */
export class OwnerPauses {
    /** The functions that let the blocked calls of each paused or dead owner continue. */
    private readonly blockedCalls = new Map<number, (() => void)[]>();

    /** Returns whether an owner is paused or dead. */
    isPaused(epoch: number): boolean {
        return this.blockedCalls.has(epoch);
    }

    /** Pauses an owner; a dead owner is one that never resumes. */
    pause(epoch: number): void {
        this.blockedCalls.set(epoch, []);
    }

    /** Lets an owner and its blocked calls continue. */
    resume(epoch: number): void {
        const blockedCalls = this.blockedCalls.get(epoch) ?? [];
        this.blockedCalls.delete(epoch);
        blockedCalls.forEach(resumeCall => resumeCall());
    }

    /** Resolves at once for an owner that runs, and for a paused one when it resumes. */
    async waitWhilePaused(epoch: number): Promise<void> {
        const blockedCalls = this.blockedCalls.get(epoch);
        if (blockedCalls !== undefined) {
            await new Promise<void>(resolve => blockedCalls.push(resolve));
        }
    }
}
