import { toJson } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { Document, InputError } from "./index.js";
import { DocumentSchema, parseDocument } from "./index.js";

Given("the example document {string}", function(this: TestWorld, name: string) {
    this.notes.set("text", readFileSync(`examples/${name}.ini`, "utf8"));
});

Given("its text {string} is replaced by {string}", function(this: TestWorld, before: string, after: string) {
    const text = this.note<string>("text");
    const replacement = after.replaceAll("\\n", "\n").replace("LARGE", "9".repeat(400));
    this.notes.set("text", text.replace(before, replacement));
});

When("the document is parsed", function(this: TestWorld) {
    this.notes.set("parsed", parseDocument(this.note<string>("text")));
});

Then("the parsed document matches the snapshot", function(this: TestWorld) {
    const parsed = this.note<Result<Document, readonly InputError[]>>("parsed");
    this.expectSnapshot(toJson(DocumentSchema, parsed._unsafeUnwrap()));
});

Then("the reported errors match the snapshot", function(this: TestWorld) {
    const parsed = this.note<Result<Document, readonly InputError[]>>("parsed");
    this.expectSnapshot(parsed._unsafeUnwrapErr().map(error => error.message));
});
