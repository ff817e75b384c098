package io.cardamomshelf.client;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigRecord;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Edit;
import io.cardamomshelf.core.config.Entry;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.ListValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Converts the records of the configuration stream, edits and snapshots, to JSON text and back.
 *
 * <p>Use: {@code ConfigJson.write(edit)} and {@code ConfigJson.readRecord(text)}.
 *
 * <p>Stateless and thread-safe.
 */
public final class ConfigJson {

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record RecordForm(EditForm edit, StateForm snapshot) {}

    private record EditForm(int format, String id, String author, List<ChangeForm> changes) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record ChangeForm(EntryKey key, long basedOn, JsonNode value) {}

    private record StateForm(long offset, List<EntryForm> entries, Map<String, Long> editIds) {}

    private record EntryForm(
            EntryKey key, long version, String editId, String author, JsonNode value) {}

    private ConfigJson() {}

    /**
     * Writes an edit as a record.
     *
     * @param edit the edit, not null
     * @return the JSON text, never null
     */
    public static String write(Edit edit) {
        List<ChangeForm> changes = new ArrayList<>();
        for (Change change : edit.changes()) {
            JsonNode value = change.value().map(ConfigJson::toNode).orElse(null);
            changes.add(new ChangeForm(change.key(), change.basedOn(), value));
        }
        EditForm form = new EditForm(edit.format(), edit.id(), edit.author(), changes);
        return Json.write(new RecordForm(form, null));
    }

    /**
     * Writes a state as a snapshot record.
     *
     * @param state the state, not null
     * @return the JSON text, never null
     */
    public static String write(ConfigState state) {
        List<EntryForm> entries = new ArrayList<>();
        state.sortedEntries()
                .forEach(
                        (key, entry) ->
                                entries.add(
                                        new EntryForm(
                                                key,
                                                entry.version(),
                                                entry.editId(),
                                                entry.author(),
                                                toNode(entry.value()))));
        StateForm form = new StateForm(state.offset(), entries, state.editIds());
        return Json.write(new RecordForm(null, form));
    }

    /**
     * Reads a record of the stream.
     *
     * @param text the JSON text, not null
     * @return the record, never null; {@code Unreadable} if the text isn't a valid record
     */
    public static ConfigRecord readRecord(String text) {
        try {
            RecordForm form = Json.read(text, RecordForm.class);
            if (form.edit() != null) {
                return new ConfigRecord.EditRecord(toEdit(form.edit()));
            }
            if (form.snapshot() != null) {
                return new ConfigRecord.SnapshotRecord(toState(form.snapshot()));
            }
            return new ConfigRecord.Unreadable();
        } catch (FormatException | IllegalArgumentException e) {
            return new ConfigRecord.Unreadable();
        }
    }

    private static JsonNode toNode(ListValue value) {
        return Json.mapper().valueToTree(value);
    }

    private static Edit toEdit(EditForm form) throws FormatException {
        List<Change> changes = new ArrayList<>();
        for (ChangeForm change : form.changes()) {
            Optional<ListValue> value =
                    change.value() == null
                            ? Optional.empty()
                            : Optional.of(toValue(change.key(), change.value()));
            changes.add(new Change(change.key(), change.basedOn(), value));
        }
        return new Edit(form.format(), form.id(), form.author(), changes);
    }

    private static ConfigState toState(StateForm form) throws FormatException {
        Map<EntryKey, Entry> entries = new TreeMap<>();
        for (EntryForm entry : form.entries()) {
            ListValue value = toValue(entry.key(), entry.value());
            entries.put(
                    entry.key(), new Entry(value, entry.version(), entry.editId(), entry.author()));
        }
        return new ConfigState(form.offset(), entries, form.editIds());
    }

    private static ListValue toValue(EntryKey key, JsonNode node) throws FormatException {
        try {
            return Json.mapper().treeToValue(node, key.section().valueType());
        } catch (JsonProcessingException e) {
            throw FormatException.of(e);
        }
    }
}
